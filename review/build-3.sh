#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start, besides the build of the deploy file:
# the harness, which contains the stand-ins of the platform, the executors and the callers.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/harness3 ./review/harness3
