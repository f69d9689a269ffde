#!/usr/bin/env bash
# Exits with 1 if a stopping process gave up a request that it took late, 0 if not, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/review/LateRequests.class ] || ../build.sh || exit 2
timeout -k 5 115 java -cp ../../target/review LateRequests ../.. .
status=$?
[ $status -le 2 ] || status=2
exit $status
