#!/usr/bin/env bash
# Runs each fuzz target for a while, one after the other. FUZZTIME is for each (120s);
# arguments are packages, ./... without. Stops at the first input that fails, which go
# test leaves in the package's testdata/fuzz: mend the fault and keep the input.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=("$@")
[ ${#packages[@]} -gt 0 ] || packages=(./...)
for package in $(go list "${packages[@]}"); do
  for target in $(go test "$package" -list '^Fuzz' | grep '^Fuzz' || true); do
    echo "$package $target"
    go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZTIME:-120s}" -fuzzminimizetime 20x -parallel 2
  done
done
