#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: one program, with the compiler alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3
exec rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/cases
