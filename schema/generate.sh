#!/usr/bin/env bash
# Regenerates src/wire/generated.rs from schema/wire.json. Needs `cargo install cargo-typify`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo typify --no-builder -d PartialEq schema/wire.json -o src/wire/generated.rs
sed -i '/^#!\[allow/d' src/wire/generated.rs
cargo fmt
