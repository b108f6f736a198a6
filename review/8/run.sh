#!/bin/sh
# Plays the scenario; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
RECORD="$here/record.txt" target/review-2/cases-2 large
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
