#!/usr/bin/env bash
# Runs the measurements named on the command line, each with its baseline and five seeds:
#   scripts/measure.sh flood goodput poison prefix retries
# Each run prints one line: the name, the manifest's policy (empty for the default), the seed,
# and the figures as JSON. Each starts its own processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in "$@"; do
    cargo test --release --all-features --test suite "measure_$name" -- --ignored --nocapture |
        grep --line-buffered 'policy \['
done
