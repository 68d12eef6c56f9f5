#!/usr/bin/env bash
# Searches the spin models in spec/ exhaustively, then checks that each mutation of a model is found. Generated files
# go to a temporary folder. MODEL_CHECK_JOBS is the number of parallel searches (default 4).
set -euo pipefail
cd "$(dirname "$0")/.."
spec_dir=$PWD/spec
jobs=${MODEL_CHECK_JOBS:-4}
# Limit of one search: four in parallel stay below 16 GiB. The largest search needs about 2 GiB.
memory_limit_mb=3500
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT

# search EXPECTED MODEL FLAG...: runs one search and fails unless its result is EXPECTED: "holds" (all states
# searched, no violation) or "violated".
search() {
  local expected=$1 model=$2 folder name result=failed states seconds violation
  shift 2
  name="$model${*:+ $*}"
  folder=$(mktemp -d "$work_dir/search.XXXXXX")
  cd "$folder"
  if ! spin -a "$@" "$spec_dir/$model.pml" >spin.log 2>&1 ||
    ! gcc -O2 -w -DSAFETY -DNOREDUCE -DNOCLAIM -DBFS "-DMEMLIM=$memory_limit_mb" -o pan pan.c >gcc.log 2>&1; then
    cat spin.log gcc.log 2>/dev/null
    echo "model-check: $name: build failed"
    return 1
  fi
  # Breadth-first search has no depth bound by default; -b turns an exceeded bound into an error.
  ./pan -b >pan.log 2>&1 || true
  if [ "$expected" = holds ]; then
    if grep -q 'errors: 0$' pan.log && grep -q 'states, stored' pan.log &&
      ! grep -qiE 'max search depth too small|search not completed|MEMLIM|out of memory|aborting' pan.log; then
      result=ok
    fi
  elif grep -q '^pan:1: assertion violated' pan.log && grep -q 'errors: 1$' pan.log; then
    result=ok
  fi
  states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' pan.log)
  seconds=$(sed -nE 's/^pan: elapsed time ([0-9.e+-]+) seconds/\1/p' pan.log)
  violation=$(sed -nE 's/^pan:1: (assertion violated.{0,60}).*/, \1/p' pan.log)
  # One write per search, so that the output of parallel searches does not interleave.
  echo "model-check: $name: $expected: $result, ${states:-no} states, ${seconds:-0} s$violation"
  if [ "$result" != ok ]; then
    tail -n 40 pan.log
    return 1
  fi
  rm -rf "$folder"
}
export -f search
export spec_dir work_dir memory_limit_mb

run_all() {
  xargs -P "$jobs" -d '\n' -I{} bash -c 'read -ra words <<<"$1"; search "${words[@]}"' _ {}
}

list_models() {
  cat <<'MODELS'
holds gang -DWITH_RETRY -DWITH_CRASH
holds permit -DVALIDITY=2
holds permit
holds guarantee
holds request
holds restart
holds restart -DTERMS=2 -DINCARNATIONS=3 -DRUNS=1
MODELS
}

# Every MUTATION_ flag injects a fault into the protocol. Every REACH_ flag asserts that a required state is
# unreachable; the violation shows that the model does not hold vacuously.
list_mutations() {
  local model flag
  for model in permit gang request guarantee restart; do
    grep -ohE '(MUTATION|REACH)_[A-Z0-9_]+' "spec/$model.pml" | sort -u | while read -r flag; do
      if [ "$model" = gang ]; then echo "violated gang -DWITH_CRASH -D$flag"; else echo "violated $model -D$flag"; fi
    done
  done
}

failed=0
list_models | run_all || failed=1
list_mutations >"$work_dir/mutations"
run_all <"$work_dir/mutations" || failed=1
if [ "$failed" -ne 0 ]; then
  echo "model-check: failed" >&2
  exit 1
fi
echo "model-check: all models hold, all $(wc -l <"$work_dir/mutations") mutations and reachability checks were found"
