#!/usr/bin/env bash
# Regenerates src/wire/generated.rs from schema/wire.json. Needs `cargo install cargo-typify`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo typify --no-builder -d PartialEq schema/wire.json -o src/wire/generated.rs
sed -i '/^#!\[allow/d' src/wire/generated.rs
cargo fmt
# The schemas in openapi.json are those of wire.json.
python3 - <<'PY'
import json

wire = json.load(open("schema/wire.json"))["definitions"]
api = json.load(open("schema/openapi.json"))
text = json.dumps(api["paths"])
wanted = [name for name in wire if f'#/components/schemas/{name}"' in text]
schemas = {}
while wanted:
    name = wanted.pop()
    schema = json.dumps(wire[name]).replace("#/definitions/", "#/components/schemas/")
    schemas[name] = json.loads(schema)
    wanted += [other for other in wire if f'#/components/schemas/{other}"' in schema and other not in schemas]
api["components"]["schemas"] = dict(sorted(schemas.items()))
json.dump(api, open("schema/openapi.json", "w"), indent=1, ensure_ascii=False)
open("schema/openapi.json", "a").write("\n")
PY
