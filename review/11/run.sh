#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/cases waiting-gang review/11
