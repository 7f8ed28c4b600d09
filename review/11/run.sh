#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
program=target/review-3/11
if [ ! -x "$program" ] || [ ! -x target/lagooncleat ]; then exit 2; fi
timeout -k 2 115 "$program" -record review/11/record.txt -trouble="$trouble"
status=$?
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
