#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/cases large-job review/13
