#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/rig leave-forgotten "$PWD" review/3 "${TROUBLE:-1}"
