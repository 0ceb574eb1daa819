#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. The build of the
# deploy file has to be done before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/standins-2
