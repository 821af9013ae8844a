#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/savoryramp-vm ] && [ -x target/review-world ] || exit 2
exec target/review-world -case fence -binary target/savoryramp-vm -record review/3/record.txt
