#!/usr/bin/env bash
# The platform's own words may stand in platform/ only.
set -euo pipefail
cd "$(dirname "$0")/.."
words='basillead-(request-id|deadline-ms|expect-instance|server-stamp|not-executed|duty-holder|fencing-token|weight-versions|wait-ms|tenant)|log-(append|read|newest|join|commit|trim)|keyed\.(op|servers|status)|/lots/|groupTarget|windowId|pathPrefix|routeKind|coldLeftMs|nodeName|server-leaving'
if grep -rniE "$words" src; then
  echo "the platform's words stand outside platform/" >&2
  exit 1
fi
