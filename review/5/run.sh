#!/usr/bin/env bash
# Plays the case of claim.txt and writes record.txt beside this file. Exit code: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/basillead-platform target/review/standin; do
    [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
export TROUBLE="${TROUBLE:-1}"
exec target/review/standin resend_to_draining "review/5/record.txt"
