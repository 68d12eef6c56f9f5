#!/usr/bin/env bash
# Plays the standard days and hunted days of the given deployments and compares each day's worth with the last results
# that were kept: regression.sh [--days N] [--jobs N] [--keep] BENCH SITE...
# BENCH is the program that plays days, SITE a site file of it. Prints one table (site, day, worth, served, broken rules,
# change of worth) and exits with 1 if a gate fails or a rule is broken. --keep replaces the kept results.
set -euo pipefail
cd "$(dirname "$0")/.."
days=8 jobs=3 keep=0
kept=deploy/regression.tsv
usage() {
  echo "usage: regression.sh [--days N] [--jobs N] [--keep] BENCH SITE..." >&2
  exit 2
}
while [ "$#" -gt 0 ]; do
  case $1 in
    --days | --jobs)
      [ "$#" -ge 2 ] || usage
      if [ "$1" = --days ]; then days=$2; else jobs=$2; fi
      shift 2
      ;;
    --keep)
      keep=1
      shift
      ;;
    --*) usage ;;
    *) break ;;
  esac
done
[ "$#" -ge 2 ] || usage
bench=$1
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
results=$work/results.tsv
: >"$results"
for site in "$@"; do
  name=$(basename "$site" .toml)
  "$bench" score "$site" --jobs "$jobs" --why "regression run" >"$work/$name.score" 2>&1 || failed=1
  grep -q '^GATE passed' "$work/$name.score" || failed=1
  # Lines of days begin with the name of the day, the numbers of own and server machines, score, worth and served.
  awk -v site="$name" '$2 ~ /^[0-9]+\/[0-9]+$/ {
    broken = match($0, /rules? broken|broken:/) ? "yes" : "no"
    if ($1 !~ /^fresh-/) printf "%s\t%s\t%s\t%s\t%s\n", site, $1, $4, $5, broken
  }' "$work/$name.score" >>"$results"
  if [ "$days" -gt 0 ]; then
    hunted=passed
    "$bench" hunt "$site" --days "$days" --jobs "$jobs" --why "regression run" >"$work/$name.hunt" 2>&1 || hunted=failed
    grep -q ', 0 with a rule broken' "$work/$name.hunt" || hunted=failed
    [ "$hunted" = passed ] || failed=1
    printf '%s\thunt of %s days\t-\t-\t%s\n' "$name" "$days" "$([ "$hunted" = passed ] && echo no || echo yes)" >>"$results"
  fi
done
printf '%-26s %-22s %7s %7s %7s %8s\n' site day worth served broken change
while IFS=$'\t' read -r site day worth served broken; do
  change=-
  before=$(awk -F'\t' -v site="$site" -v day="$day" '$1 == site && $2 == day { print $3 }' "$kept" 2>/dev/null || true)
  if [ -n "$before" ] && [ "$before" != - ]; then
    change=$(awk -v now="$worth" -v before="$before" 'BEGIN { printf "%+.3f", now - before }')
  fi
  printf '%-26s %-22s %7s %7s %7s %8s\n' "$site" "$day" "$worth" "$served" "$broken" "$change"
done <"$results"
if [ "$failed" -ne 0 ]; then
  echo "a gate failed or a rule was broken"
  for file in "$work"/*.score "$work"/*.hunt; do
    grep -E '^GATE failed|broken|gives? up' "$file" | sed "s|^|$(basename "$file"): |" || true
  done
fi
if [ "$keep" -eq 1 ]; then cp "$results" "$kept"; fi
exit "$failed"
