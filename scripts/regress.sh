#!/usr/bin/env bash
# Scores and hunts the sites in force on the platform's bench, before a landing.
#
# Usage: scripts/regress.sh BENCH PAGES WHY [SITE...]
#   BENCH  the bench's program
#   PAGES  the folder of the platform's pages, which holds the site files
#   WHY    a line for the journal
#   SITE   names as listed below; all of them if none is given
#
# JOBS is the number of cores to use (default: half of the processors). Prints a line a site and
# keeps the whole output under target/regress. Fails if a gate does or a hunted day breaks a rule.
set -euo pipefail
cd "$(dirname "$0")/.."

# Name, site file, hunted days: 40, and 8 on sites of 60 machines and more.
sites=(
  "qalam-ops sites/qalam-ops.toml 40"
  "guild-proofs sites/guild-proofs.toml 40"
  "qalam-ops-grown grown/qalam-ops-grown.toml 8"
  "guild-proofs-grown grown/guild-proofs-grown.toml 8"
  "qalam-ops-large large/qalam-ops-large.toml 8"
  "kowhai-plaques further/kowhai-plaques.toml 40"
  "kowhai-plaques-grown further-grown/kowhai-plaques-grown.toml 8"
  "qalam-ops-now-grown shifted/qalam-ops-now-grown.toml 8"
  "kestrelbay-rl-grown demands/kestrelbay-rl-grown.toml 8"
  "fotofam-uy-grown demands/fotofam-uy-grown.toml 8"
)

if (($# < 3)); then
  sed -n '2,/^set /{/^# /s/^# //p}' "$0" >&2
  exit 2
fi
bench=$1 pages=$2 why=$3
shift 3
jobs=${JOBS:-$(($(nproc) / 2))}
out=target/regress
mkdir -p "$out"
failed=0
for site in "${sites[@]}"; do
  read -r name file days <<<"$site"
  if (($# > 0)) && [[ " $* " != *" $name "* ]]; then
    continue
  fi
  "$bench" score "$pages/$file" --jobs "$jobs" --why "$why" >"$out/$name.score" 2>&1 || true
  "$bench" hunt "$pages/$file" --days "$days" --jobs "$jobs" --why "$why" >"$out/$name.hunt" 2>&1 || true
  score=$(grep -oE 'set [0-9a-f]+\): [0-9.]+' "$out/$name.score" | grep -oE '[0-9.]+$' || echo none)
  gate=$(grep -oE 'GATE (passed|failed)' "$out/$name.score" || echo 'GATE not reached')
  hunt=$(grep -oE '[0-9]+ days on .*, [0-9]+ with a rule broken' "$out/$name.hunt" || echo 'hunt not ended')
  echo "$name: score $score, $gate; $hunt"
  if [[ $gate != 'GATE passed' || $hunt != *', 0 with a rule broken' ]]; then
    failed=1
  fi
done
exit "$failed"
