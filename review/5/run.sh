#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || exit 2
exec target/review/standin cancelled-before review/5
