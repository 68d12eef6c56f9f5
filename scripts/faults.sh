#!/usr/bin/env bash
# Runs a deployment under load, injects faults, and checks the rules of docs/design.md from the recorded histories
# alone: faults.sh --seed N [--minutes M] [--list ci]. Exits 0 only if all rules hold. KEEP=1 keeps the records of a
# run that passed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 minutes=2 list=""
while [ "$#" -gt 1 ]; do
  case $1 in
    --seed) seed=$2 ;;
    --minutes) minutes=$2 ;;
    --list) list=$2 ;;
    *) echo "usage: faults.sh --seed N [--minutes M] [--list ci]" >&2 && exit 2 ;;
  esac
  shift 2
done
build_dir=${BUILD_DIR:-build}
deployment=${DEPLOYMENT:-plamenna}
run_dir=$(mktemp -d)
record_file=$run_dir/operators.jsonl
BASILSPRING=$build_dir/basilspring
export deployment BASILSPRING
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
# shellcheck source=scripts/fault_kinds.sh
. scripts/fault_kinds.sh
load_id=""
finish() {
  if [ -n "$load_id" ]; then kill "$load_id" 2>/dev/null || true; fi
  for name in "${!process_ids[@]}"; do kill -CONT "${process_ids[$name]}" 2>/dev/null || true; done
  stop_cluster
}
trap finish EXIT

# Fault pairs for CI, chosen so that each kind of rule is tested by at least one fault. The first fault of a pair ends
# last.
ci_list=("data_centre scheduler_kill" "store_lose entry_kill" "scheduler_pause race" "backend_leaving stop_agent"
  "data_centre store_down" "stop_entry backend_hang" "cancel_wave agent_kill")

# Sets `drawn` to one or two random faults. Must not run in a subshell, where bash reseeds RANDOM.
draw_faults() {
  local first=${fault_kinds[RANDOM % ${#fault_kinds[@]}]}
  local second=${fault_kinds[RANDOM % ${#fault_kinds[@]}]}
  drawn=("$first")
  case $((RANDOM % 3)) in
    1) if [ "$first" != "$second" ]; then drawn+=("$second"); fi ;;
    2) if [ "$first" != data_centre ]; then drawn=(data_centre "$first"); fi ;;
  esac
}

# inject FAULT...: begins the faults, holds them for 4 to 6 s, and ends them in reverse order.
inject() {
  local fault i
  echo "$(date +%H:%M:%S) faults: $*"
  for fault in "$@"; do "begin_$fault"; done
  sleep "$((4 + RANDOM % 3))"
  for ((i = $#; i > 0; i--)); do "end_${!i}"; done
  sleep 2
}

store_address=$(sed -nE 's/^servers = \["([^"]*)".*/\1/p' "deploy/$deployment"/entry-*.toml | head -n 1)
# Succeeds if no other deployment runs on the same addresses. The processes of a deployment do not all end at the same
# time, so its entries are queried as well as its store.
addresses_free() {
  local file
  for file in "deploy/$deployment"/entry-*.toml; do
    if curl -s -m 1 -o /dev/null "http://$(setting "$file" http)/readyz"; then return 1; fi
  done
  ! curl -s -m 1 -o /dev/null "http://${store_address%:*}:2380/stats"
}
wait_until "another deployment on this machine ends" addresses_free
echo "seed $seed, records are in $run_dir"
RANDOM=$seed
start_cluster
BASILSPRING_ENTRY=$(all_entries)
export BASILSPRING_ENTRY
record_event clock
describe_processes
"deploy/$deployment/operator-setup.sh" >"$run_dir/setup.out"
workspaces=$("$BASILSPRING" workspace list | paste -sd,)
if [ "$list" = ci ]; then seconds=65; else seconds=$((minutes * 60)); fi
"$build_dir/basilspring-standin" load --entries "$BASILSPRING_ENTRY" --workspaces "$workspaces" --seed "$seed" \
  --seconds "$seconds" --rate "${RATE:-10}" --record "$run_dir/load.jsonl" >"$run_dir/load.out" 2>&1 &
load_id=$!
sleep 3
if [ "$list" = ci ]; then
  for pair in "${ci_list[@]}"; do
    read -ra faults <<<"$pair"
    inject "${faults[@]}"
  done
else
  end=$((SECONDS + seconds))
  while [ "$SECONDS" -lt "$end" ]; do
    draw_faults
    inject "${drawn[@]}"
  done
fi
echo "all faults have ended; waiting for the load generator"
load_code=0
wait "$load_id" || load_code=$?
load_id=""
for id in "${wave_ids[@]}"; do wait "$id" || true; done
record_event end_of_run
finish
trap - EXIT
cat "$run_dir/load.out"
if [ "$load_code" -ne 0 ]; then echo "the load did not drain (exit code $load_code)"; fi
answered=$(grep -c '"event":"answered"' "$run_dir/load.jsonl" || true)
if [ "$answered" -lt 20 ]; then
  echo "only $answered requests were answered, too few for a result (minimum 20)"
  exit 1
fi
check_code=0
"$build_dir/basilspring-standin" check-history "$run_dir"/*.jsonl "$run_dir"/*.log || check_code=$?
echo "records: $run_dir (seed $seed)"
if [ "$check_code" -eq 0 ] && [ -z "${KEEP:-}" ]; then rm -r "$run_dir"; fi
exit "$check_code"
