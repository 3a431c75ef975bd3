#!/usr/bin/env bash
# Builds the stand-ins of the third review (review/11 to review/15) after the build of
# deploy/system.toml. It needs no network: the stand-ins use Go's standard library only.
set -eu
cd "$(git -C "$(dirname "$0")" rev-parse --show-toplevel 2>/dev/null || (cd "$(dirname "$0")/.." && pwd))"
go build -o target/review-rig-3 ./review/_rig3
