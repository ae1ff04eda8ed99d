#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Its only case is a day, so there are none.
set -euo pipefail
