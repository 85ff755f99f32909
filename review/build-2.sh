#!/usr/bin/env bash
# Builds the programs of the second review's cases into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/testdata/rig2/cases/...
