#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lagooncleat ] && [ -x target/review-2/rig ] || exit 2
exec target/review-2/rig withdrawal review/9/record.txt
