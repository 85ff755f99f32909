#!/usr/bin/env bash
# Scores the sites of deploy/regression.txt one after the other and prints each score next to the required one. Exits 1 if
# a site's gate fails or its score is more than the slack of 0.03 below the required one.
#
# Usage: regression.sh BENCH SITES WHY [JOBS]
#   BENCH, SITES  the users' bench and the folder of its site files
#   WHY           a reason for the journal
#   JOBS          the bench's --jobs; default 4
set -euo pipefail
cd "$(dirname "$0")/.."

bench=$1 sites=$2 why=$3 jobs=${4:-4}
slack=0.03
out=${REGRESSION_OUT:-out/regression}
mkdir -p "$out"

failed=0
printf '%-40s %8s %8s  %s\n' site before now verdict
while read -r site _ before; do
  case $site in '' | '#'*) continue ;; esac
  log=$out/$(basename "$site" .toml).txt
  "$bench" score "$sites/$site" --jobs "$jobs" --why "$why" > "$log" 2>&1 || true
  now=$(sed -nE 's/^score on [^:]*: ([0-9.]+).*/\1/p' "$log" | tail -n 1)
  verdict=ok
  grep -q 'GATE passed' "$log" || verdict='gate failed'
  awk -v b="$before" -v n="${now:-0}" -v s="$slack" 'BEGIN { exit !(n < b - s) }' && verdict="$verdict, fell"
  [ "$verdict" = ok ] || failed=1
  printf '%-40s %8s %8s  %s\n' "$site" "$before" "${now:-none}" "$verdict"
done < deploy/regression.txt
exit $failed
