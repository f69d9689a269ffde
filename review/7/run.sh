#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no cut and no restart.
cd "$(dirname "$0")/../.." || exit 2
[[ -d target/review-2 ]] || exit 2
timeout 115 java -Xmx256m -cp "target/review-2:target/snipewind-platform/snipewind.jar:target/snipewind-platform/libraries/*" \
    org.snipewind.platform.SameIdRestart . review/7/record.txt "${TROUBLE:-1}"
status=$?
if [[ $status -le 2 ]]; then exit "$status"; fi
exit 2
