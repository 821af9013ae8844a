#!/bin/sh
# Builds what the scripts of the third review's cases start, besides the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 ./review/standin-3
