#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/rig ./review/rig-2
