#!/usr/bin/env bash
# Plays the users' deployments with their bench and fails if a gate is missed or a rule is broken.
# CI has no bench, so this is run by hand before a landing.
#
#   scripts/fleet-regression.sh BENCH DIR [JOBS]
#
# BENCH is the bench's program and DIR the folder with its site files. JOBS plays at a time
# (default 3); scores are comparable only at the same number.
set -euo pipefail

if [ $# -lt 2 ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1 dir=$2 jobs=${3:-3}
cd "$(dirname "$0")/.."

# Site file and number of hunted days: fewer where a day has hundreds of VMs and workers.
sites=(
  'further/fynbos-swaps 40'
  'further-grown/fynbos-swaps-grown 40'
  'grown/sobre-central-grown 40'
  'grown/thw-paddle-grown 40'
  'large/sobre-central-large 8'
)

output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0
for entry in "${sites[@]}"; do
  read -r site days <<<"$entry"
  echo "== $site"
  "$bench" score "$dir/$site.toml" --quick --jobs "$jobs" --why "regression run" >"$output" 2>&1 || true
  grep -E '^score on|^GATE|BROKEN' "$output" || true
  grep -q '^GATE passed' "$output" || failed=$((failed + 1))
  "$bench" hunt "$dir/$site.toml" --days "$days" --jobs "$jobs" --why "regression run" >"$output" 2>&1 || true
  grep -E 'BROKEN|with a rule broken' "$output" || true
  grep -Eq '^[0-9]+ days on .*, 0 with a rule broken' "$output" || failed=$((failed + 1))
done
[ "$failed" = 0 ] || { echo "$failed of the scores and hunts failed" >&2; exit 1; }
echo "every gate was passed and no hunted day broke a rule"
