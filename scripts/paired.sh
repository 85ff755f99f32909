#!/usr/bin/env bash
# Plays the same days with two commits and prints the worth of each play, and the mean and the spread of the differences.
# Usage: paired.sh BENCH SITES WHY BEFORE AFTER PLAYS: the users' bench, the folder of its site files, a reason for the journal, two
# commits, and a file with a play a line: SITE DAY and further options of the bench, such as --seed N. Each commit has a clone of its
# own in PAIRED_OUT (out/paired), beside the logs of its plays; entries of the journal are copied to this repository's.
set -euo pipefail
cd "$(dirname "$0")/.."

bench=$(realpath -m "$1") sites=$(realpath -m "$2") why=$3 before=$4 after=$5 plays=$(realpath "$6")
out=$(realpath -m "${PAIRED_OUT:-out/paired}")
here=$PWD

# copy COMMIT prints the folder of a clone with that commit.
copy() {
  local hash dir
  hash=$(git rev-parse --short "$1^{commit}")
  dir=$out/$hash
  if [ ! -d "$dir" ]; then
    git clone -q "$here" "$dir"
    git -C "$dir" checkout -q "$hash"
  fi
  echo "$dir"
}

# play DIR NUMBER SITE DAY OPTIONS prints the worth of one play, or nothing if it came to none.
play() {
  local dir=$1 log=$1.$2.txt site=$3 day=$4
  shift 4
  (cd "$dir" && "$bench" run "$sites/$site" "$day" --why "$why" "$@" > "$log" 2>&1) || true
  sed -nE 's/^worth ([0-9.]+) = .*/\1/p' "$log" | tail -n 1
}

mkdir -p "$out"
a=$(copy "$before") b=$(copy "$after")
number=0
printf '%-64s %8s %8s %8s\n' play before after change
while read -r site day options; do
  case $site in '' | '#'*) continue ;; esac
  number=$((number + 1))
  # shellcheck disable=SC2086 # options are several words
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
