#!/usr/bin/env bash
# The users' deployments against what has been reached on them: one table of the
# mean worth of the days with trouble, its floor, and the gate. Exits 1 if a gate
# failed or a mean is below its floor.
# Usage: docs/measure/regression.sh BENCH FOLDER [JOBS [DEPLOYMENT...]]
# BENCH is the users' bench, FOLDER the one with their deployments' folders.
set -euo pipefail
cd "$(dirname "$0")/../.."
bench=$1
folder=$2
jobs=${3:-4}
shift $(($# < 3 ? $# : 3))
only=" $* "

# Deployment, and the mean reached (docs/DECIDING.md) less the 0.03 by which it may fall.
# The large one has taken the place of the two of sites/, which are still hunted.
floors="
large/vstd-fare-large 0.70
shifted/vstd-fare-now-grown 0.67
further/kaamos-push 0.48
further-grown/kaamos-push-grown 0.48
grown/vstd-fare-grown 0.705
grown/kpv-wardturn-grown 0.695
"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
bad=0
printf '%-20s %6s %6s  %s\n' deployment mean floor gate
while read -r site floor; do
  name=${site##*/}
  if [ -z "$site" ] || { [ "$only" != "  " ] && [[ "$only" != *" $name "* ]]; }; then
    continue
  fi
  "$bench" score "$folder/$site.toml" --jobs "$jobs" --why "Regression run" > "$out/$name" 2>&1 || true
  gate=$(grep -o 'GATE [a-z]*' "$out/$name" || echo 'GATE not played')
  mean=$(awk '/^(trouble|scale)-[0-9]/ && $4 ~ /^-?[0-9.]+$/ { sum += $4; n++ } END { if (n) printf "%.3f", sum / n; else print "none" }' "$out/$name")
  verdict=$(awk -v m="$mean" -v f="$floor" 'BEGIN { print (m >= f && m != "none") ? "" : "below the floor" }')
  printf '%-20s %6s %6s  %s %s\n' "$name" "$mean" "$floor" "${gate#GATE }" "$verdict"
  if [ -n "$verdict" ] || [ "$gate" != "GATE passed" ]; then
    bad=1
    cat "$out/$name" >&2
  fi
done <<< "$floors"
exit "$bad"
