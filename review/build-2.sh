#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/case7 ./review/7
