#!/usr/bin/env bash
# Runs the same days with two commits and prints the worth of each run, and the mean and standard deviation of the
# differences.
#
# Usage: paired.sh BENCH SITES WHY BEFORE AFTER PLAYS
#   BENCH, SITES   the users' bench and the folder of its site files
#   WHY            a reason for the journal
#   BEFORE, AFTER  the two commits
#   PLAYS          a file with one run per line: SITE DAY and further options of the bench, such as --seed N
#
# Each commit is cloned to its own folder in PAIRED_OUT (default out/paired), next to the logs of its runs. Journal entries
# of the runs are copied to this repository's journal.
set -euo pipefail
cd "$(dirname "$0")/.."

bench=$(realpath -m "$1") sites=$(realpath -m "$2") why=$3 before=$4 after=$5 plays=$(realpath "$6")
out=$(realpath -m "${PAIRED_OUT:-out/paired}")
here=$PWD

# clone_commit COMMIT clones the commit, unless that was done before, and prints the clone's folder.
clone_commit() {
  local hash dir
  hash=$(git rev-parse --short "$1^{commit}")
  dir=$out/$hash
  if [ ! -d "$dir" ]; then
    git clone -q "$here" "$dir"
    git -C "$dir" checkout -q "$hash"
  fi
  echo "$dir"
}

# play DIR NUMBER SITE DAY OPTIONS runs one day and prints its worth, or nothing if the bench printed none.
play() {
  local dir=$1 log=$1.$2.txt site=$3 day=$4
  shift 4
  (cd "$dir" && "$bench" run "$sites/$site" "$day" --why "$why" "$@" > "$log" 2>&1) || true
  sed -nE 's/^worth ([0-9.]+) = .*/\1/p' "$log" | tail -n 1
}

mkdir -p "$out"
a=$(clone_commit "$before") b=$(clone_commit "$after")
number=0
printf '%-64s %8s %8s %8s\n' play before after change
while read -r site day options; do
  case $site in '' | '#'*) continue ;; esac
  number=$((number + 1))
  # shellcheck disable=SC2086 # options holds several words
  x=$(play "$a" "$number" "$site" "$day" $options)
  # shellcheck disable=SC2086
  y=$(play "$b" "$number" "$site" "$day" $options)
  awk -v p="$site $day $options" -v x="${x:-none}" -v y="${y:-none}" 'BEGIN {
    d = x == "none" || y == "none" ? "none" : sprintf("%+.3f", y - x)
    printf "%-64s %8s %8s %8s\n", p, x, y, d
  }'
done < "$plays" | tee "$out/table.txt"
for dir in "$a" "$b"; do
  [ ! -d "$dir/journal" ] || cp -n "$dir"/journal/* journal/ 2> /dev/null || true
done
awk '$NF ~ /^[+-]/ { n++; s += $NF; q += $NF * $NF }
  END {
    if (n == 0) { print "no play with both commits"; exit 1 }
    m = s / n
    v = (n > 1) ? (q - n * m * m) / (n - 1) : 0
    printf "mean change %+.3f over %d plays, standard deviation %.3f\n", m, n, sqrt(v < 0 ? 0 : v)
  }' "$out/table.txt"
