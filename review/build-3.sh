#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/1[1-5]/main.go; do
	folder=$(dirname "$main")
	go build -tags review -o "target/review-3/$(basename "$folder")" "./$folder"
done
