#!/usr/bin/env bash
# Builds the programs of the cases into target/. The build of the deploy file must have run.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for folder in review/[0-9]; do
	go build -tags review -ldflags=-linkmode=external -o "target/review-${folder##*/}" "./$folder"
done
