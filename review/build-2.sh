#!/bin/sh
# Builds the stand-ins and scenarios of cases 6 to 10. Needs only rustc, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2024 -O -A dead_code -o target/review-2/cases-2 review/cases-2.rs
