#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-2 ./review/standin-2
