#!/bin/sh
# Runs a case: run.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/cases ] || [ ! -x target/release/hornbeamshunt ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh"
    exit 2
fi
CASE_PIDS=$(mktemp) || exit 2
export CASE_PIDS
timeout -k 1 117 target/review-2/cases "$1" "$2/record.txt" &
harness=$!
# The program ends what it has started. After a signal or the time limit, which leave it no time to, that is done here.
clean() {
    kill -9 $(cat "$CASE_PIDS") 2>/dev/null
    rm -f "$CASE_PIDS"
}
trap 'kill $harness 2>/dev/null; clean; exit 2' INT TERM HUP
wait $harness
code=$?
if [ $code -gt 2 ]; then
    clean
    code=2
fi
rm -f "$CASE_PIDS"
exit $code
