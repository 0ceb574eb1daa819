#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The product itself is built by
# the deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/standins
