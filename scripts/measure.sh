#!/usr/bin/env bash
# Runs the measurements named on the command line, each with its baseline, five seeds a policy:
#   scripts/measure.sh flood goodput prefix retries
set -euo pipefail
cd "$(dirname "$0")/.."
for name in "$@"; do
    cargo test --all-features --test suite "measure_$name" -- --ignored --nocapture \
        | grep "policy \[" -A2 | grep "seed"
done
