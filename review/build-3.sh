#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/cases-3.rs
