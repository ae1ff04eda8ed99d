#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review3/ ./review/kit3/cold ./review/kit3/lapse ./review/kit3/limit
