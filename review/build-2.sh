#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 7 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 ./review/_rig2
