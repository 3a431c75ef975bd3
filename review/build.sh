#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/_rig
