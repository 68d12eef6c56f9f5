#!/usr/bin/env bash
# Builds and starts one deployment as separate processes on this machine (store stand-in, 3 entries, 10 agents with
# their backend servers in three data centres), submits a request of each class and a gang of 16, kills the process
# of the cell scheduler once, and prints all answers with their times. Exits 0 only if all answers are complete.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
build_dir=${BUILD_DIR:-build}
deployment=${DEPLOYMENT:-plamenna}
run_dir=$(mktemp -d)
export deployment
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
trap stop_cluster EXIT
echo "logs are in $run_dir"
start_cluster
BASILSPRING_ENTRY=$(all_entries)
export BASILSPRING_ENTRY
BASILSPRING="$build_dir/basilspring" "deploy/$deployment/operator-setup.sh"
echo
echo "processes:"
ps -o pid=,args= -p "$(IFS=,; echo "${process_ids[*]}")" | cut -c1-110
echo
"$build_dir/basilspring" status
workspaces=()
while read -r name; do workspaces+=("$name"); done < <("$build_dir/basilspring" workspace list)

declare -A expected=() started=() ended=() submit_ids=()
# submit NAME CLASS TASKS ACCELERATORS WORK-MS OUTPUT: submits a request in the background. Each of its tasks answers
# OUTPUT.
submit() {
  local name=$1 class=$2 tasks=$3 accelerators=$4 work_ms=$5 output=$6 i
  printf '{"work_ms":%d,"output":"%s"}' "$work_ms" "$output" >"$run_dir/$name.payload"
  expected[$name]=""
  for ((i = 0; i < tasks; i++)); do expected[$name]+=$output; done
  started[$name]=$(date +%s%3N)
  (
    "$build_dir/basilspring" job submit --workspace "${workspaces[0]}" --key "demo-$name" --class "$class" \
      --tasks "$tasks" --accelerators "$accelerators" --adjacent --run-time-ms "$work_ms" --wait-ms 60000 \
      --payload "$run_dir/$name.payload" >"$run_dir/$name.answer" 2>"$run_dir/$name.error"
    date +%s%3N >"$run_dir/$name.end"
  ) &
  submit_ids[$name]=$!
}
submit urgent urgent 1 1 20 "quote:12.50;"
submit batch batch 1 2 500 "forecast:ok;"
submit background background 1 0 300 "labels:checked;"
submit gang16 batch 16 1 6000 "part;"

sleep 2
scheduler=$("$build_dir/basilspring" status --json | jq -r '[.cells[] | select(.running_tasks > 0)][0].scheduler')
victim=""
for file in "deploy/$deployment"/agent-*.toml; do
  if [ "$(setting "$file" listen)" = "$scheduler" ]; then victim=$(basename "$file" .toml); fi
done
echo
if [ -n "$victim" ]; then
  echo "killing the cell scheduler's process $victim (pid ${process_ids[$victim]})"
  kill -KILL "${process_ids[$victim]}"
  wait "${process_ids[$victim]}" 2>/dev/null || true
  start_agent "deploy/$deployment/$victim.toml"
fi
failures=0
for name in urgent batch background gang16; do wait "${submit_ids[$name]}" || true; done
submit after-takeover urgent 1 1 20 "quote:9.90;"
wait "${submit_ids[after-takeover]}" || true
echo
printf '%-16s %-10s %-14s %-14s %8s  %s\n' REQUEST COMPLETE SUBMITTED ANSWERED TIME_MS ANSWER
for name in urgent batch background gang16 after-takeover; do
  ended[$name]=$(cat "$run_dir/$name.end" 2>/dev/null || echo "${started[$name]}")
  complete=yes
  if [ "$(cat "$run_dir/$name.answer")" != "${expected[$name]}" ]; then
    complete=NO
    failures=$((failures + 1))
  fi
  printf '%-16s %-10s %-14s %-14s %8d  %s%s\n' "$name" "$complete" \
    "$(date -u -d "@$((started[$name] / 1000))" +%H:%M:%S).$(printf %03d $((started[$name] % 1000)))" \
    "$(date -u -d "@$((ended[$name] / 1000))" +%H:%M:%S).$(printf %03d $((ended[$name] % 1000)))" \
    "$((ended[$name] - started[$name]))" "$(cut -c1-60 "$run_dir/$name.answer")" "$(cat "$run_dir/$name.error")"
done
exit "$((failures > 0))"
