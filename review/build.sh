#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/testdata/rig
