#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program, with the compiler alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/cases
