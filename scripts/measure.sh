#!/usr/bin/env bash
# Measures the programs as separate processes with the stand-ins. The parts saturation and datacentre also measure the
# baseline policy (first-fit, first-come, no reservation) in the same run:
#   measure.sh [--seed N] [--runs N] [--seconds N] [--rate N] PART...
# Parts: latency, idle, saturation, datacentre, outage, cell. Prints tables. Figures of different runs of this script
# are only comparable if they come from the same machine under no other load.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 runs=5 seconds=20 rate=0 parts=()
while [ "$#" -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift ;;
    --runs) runs=$2; shift ;;
    --seconds) seconds=$2; shift ;;
    --rate) rate=$2; shift ;;
    latency | idle | saturation | datacentre | outage | cell) parts+=("$1") ;;
    *) echo "usage: measure.sh [--seed N] [--runs N] [--seconds N] [--rate N] latency|idle|saturation|datacentre|outage|cell ..." >&2
       exit 2 ;;
  esac
  shift
done
if [ "${#parts[@]}" -eq 0 ]; then parts=(latency idle saturation datacentre outage cell); fi
build_dir=${BUILD_DIR:-build}
deployment=${DEPLOYMENT:-plamenna}
work_dir=$(mktemp -d)
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
trap stop_cluster EXIT

# copy_settings POLICY: sets deployment_dir to a copy of the settings with this placement policy.
copy_settings() {
  local file
  deployment_dir=$work_dir/settings-$1
  mkdir -p "$deployment_dir"
  cp deploy/"$deployment"/* "$deployment_dir/"
  for file in "$deployment_dir"/*.toml; do
    printf '\n[policy]\nplacement = "%s"\n\n[log]\nlevel = "warning"\n' "$1" >>"$file"
  done
}

# start_deployment NAME POLICY: starts the deployment and creates its workspaces and guarantees.
start_deployment() {
  copy_settings "$2"
  run_dir=$work_dir/$1
  start_cluster
  BASILSPRING_ENTRY=$(all_entries)
  export BASILSPRING_ENTRY
  BASILSPRING=$build_dir/basilspring "$deployment_dir/operator-setup.sh" >"$run_dir/setup.out"
  workspaces=$("$build_dir/basilspring" workspace list | paste -sd,)
}

# metric ADDRESS NAME: prints the value of a metric without labels.
metric() {
  curl -fsS -m 5 "http://$1/metrics" | awk -v name="$2" '$1 == name {print $2}'
}

# Prints the median, minimum and maximum of the numbers on standard input.
median_and_range() {
  sort -n | awk '{v[NR] = $1} END {
    if (NR == 0) { print "-"; exit }
    m = NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2
    printf "%.4g (%.4g to %.4g)", m, v[1], v[NR] }'
}

# summarize_load RECORD FROM-MS TO-MS: prints one JSON object with the callers' results. Useful work is the
# accelerator-seconds (or core-seconds for work without accelerators) of the answers that arrived between the two times.
summarize_load() {
  jq -s --argjson from "$2" --argjson to "$3" '
    def quantile(q): sort | if length == 0 then null else .[((length - 1) * q) | floor] end;
    (map(select(.event == "submitted")) | INDEX(.request | tostring)) as $sent
    | (map(select(.event == "answered")) | map(. + {sent: $sent[.request | tostring]})) as $done
    | (map(select(.event == "refused"))) as $refused
    | {answered: ($done | length), refused: ($refused | length), sent: ($sent | length),
       useful: ([$done[] | select(.ms >= $from and .ms < $to)
                 | .sent.tasks * ([.sent.accelerators, 1] | max) * .sent.work_ms] | add // 0 | . / 1000)}
    + ([("urgent", "batch", "background") as $class
        | [$done[] | select(.sent.class == $class) | .ms - .sent.ms] as $times
        | {key: $class, value: {median: ($times | quantile(0.5)), p99: ($times | quantile(0.99))}}]
       | from_entries)' "$1"
}

# sample_fragmentation FILE: every 0.5 s, appends the number of free accelerators of each cell, how many of them are in
# free runs of 8 and of 4, and the number of queued jobs.
sample_fragmentation() {
  local file
  while sleep 0.5; do
    for file in "$deployment_dir"/entry-*.toml; do
      "$build_dir/basilspring" status --json --entry "$(setting "$file" http)" 2>/dev/null |
        jq -c --arg region "$(setting "$file" region)" --arg dc "$(setting "$file" data_centre)" \
          '.cells[] | select(.region == $region and .data_centre == $dc and .free_accelerators > 0)
           | {free: .free_accelerators, run4: (.free_runs[2] * 4), run8: (.free_runs[3] * 8),
              queued: (.queued | add)}' >>"$1" || true
    done
  done
}

# run_load NAME POLICY SEED RATE SECONDS [out]: runs a load and prints its summary as one JSON object. With "out", a
# data centre is taken out of service after a quarter of the time and returns after five eighths.
run_load() {
  local name=$1 policy=$2 load_seed=$3 load_rate=$4 length=$5 start_ms sampler place calls
  start_deployment "$name" "$policy" >&2
  calls=$(curl -fsS "http://$store_control/stats" | jq '[to_entries[] | select(.key | startswith("/v3")) | .value] | add')
  "$build_dir/basilspring-standin" load --entries "$BASILSPRING_ENTRY" --workspaces "$workspaces" --seed "$load_seed" \
    --seconds "$length" --rate "$load_rate" --mix 10,60,30 --cancel 0 --repeat 0 --non-idempotent 0 \
    --record "$run_dir/load.jsonl" >"$run_dir/load.out" 2>&1 &
  local load_id=$!
  sample_fragmentation "$run_dir/fragmentation.jsonl" &
  sampler=$!
  start_ms=$(awk '{printf "%d", $1 * 1000}' /proc/uptime)
  if [ "${6:-}" = out ]; then
    place=/$(setting "$deployment_dir/entry-$first_data_centre.toml" region)/$first_data_centre
    sleep "$((length / 4))"
    "$build_dir/basilspring" datacentre out "$place" >>"$run_dir/setup.out"
    sleep "$((length * 3 / 8 - 2))"
    "$build_dir/basilspring" datacentre in "$place" >>"$run_dir/setup.out"
  fi
  wait "$load_id" || true
  calls=$(($(curl -fsS "http://$store_control/stats" |
    jq '[to_entries[] | select(.key | startswith("/v3")) | .value] | add') - calls))
  kill "$sampler"
  wait "$sampler" 2>/dev/null || true
  summarize_load "$run_dir/load.jsonl" "$start_ms" "$((start_ms + length * 1000))" |
    jq -c --argjson calls "$calls" --slurpfile samples "$run_dir/fragmentation.jsonl" \
      '. + {store_calls_per_job: ($calls / .sent),
            run8: (([$samples[].run8] | add // 0) / ([$samples[].free] | add // 1)),
            run4: (([$samples[].run4] | add // 0) / ([$samples[].free] | add // 1)),
            idle_while_waiting: ([$samples[] | select(.queued > 0) | .free] | if length == 0 then 0 else add / length end)}'
  stop_cluster
}

# compare_policies TITLE RATE [out]: runs the load with both policies alternately and prints a table of the results.
compare_policies() {
  local run policy results=$work_dir/$1.jsonl
  echo
  echo "## $1: $runs runs, $seconds s at $2 requests a second, seeds from $seed"
  for ((run = 0; run < runs; run++)); do
    for policy in first-fit guarantees; do
      run_load "$1-$policy-$run" "$policy" "$((seed + run))" "$2" "$seconds" "${3:-}" |
        jq -c --arg policy "$policy" '. + {policy: $policy}' >>"$results"
    done
  done
  printf '| measure, median (extremes) | first-fit | guarantees |\n| --- | --- | --- |\n'
  local row
  for row in urgent.median urgent.p99 batch.median batch.p99 background.median background.p99 answered refused useful \
    run8 run4 idle_while_waiting store_calls_per_job; do
    printf '| %s | %s | %s |\n' "$row" \
      "$(jq -r "select(.policy == \"first-fit\") | .$row // empty" "$results" | median_and_range)" \
      "$(jq -r "select(.policy == \"guarantees\") | .$row // empty" "$results" | median_and_range)"
  done
  jq -rs '(map(select(.policy == "first-fit"))) as $base | (map(select(.policy == "guarantees"))) as $own
    | [range($base | length) as $i | {p99: ($base[$i].urgent.p99 / $own[$i].urgent.p99), useful: ($own[$i].useful / $base[$i].useful)}]
    | "urgent p99, baseline ÷ guarantees, by run: \(map(.p99 * 100 | round / 100))\nuseful work, guarantees ÷ baseline, by run: \(map(.useful * 100 | round / 100))"' "$results"
}

measure_latency() {
  local backend run
  echo
  echo "## latency: 1 ms of work, through an entry and directly to the same kind of backend server"
  start_deployment latency guarantees >&2
  backend=$(setting "$deployment_dir/agent-$first_data_centre-1.toml" http)
  for ((run = 0; run < runs; run++)); do
    "$build_dir/basilspring-standin" latency --entry "$(first_entry)" --backend "${backend%:*}:8091" \
      --workspace "${workspaces%%,*}" --count 300 --work-ms 1 --parallel 16
  done
  stop_cluster
}

measure_idle() {
  local file http cpu bytes name scheduler role
  echo
  echo "## idle: one process each over $seconds s; limits 2.6% of a core, 128 MB, 14 KB/s"
  start_deployment idle guarantees >&2
  sleep 5
  declare -A cpu_before bytes_before
  for file in "$deployment_dir"/*.toml; do
    http=$(setting "$file" http)
    cpu_before[$file]=$(metric "$http" process_cpu_seconds_total)
    bytes_before[$file]=$(metric "$http" basilspring_transport_bytes_sent)
  done
  sleep "$seconds"
  scheduler=$("$build_dir/basilspring" status --json | jq -r '[.cells[].scheduler] | join(" ")')
  printf '| process | role | CPU %% of a core | resident MB | sent B/s |\n| --- | --- | --- | --- | --- |\n'
  for file in "$deployment_dir"/*.toml; do
    http=$(setting "$file" http)
    name=$(basename "$file" .toml)
    role=${name%%-*}
    case " $scheduler " in *" $(setting "$file" listen) "*) role="agent and scheduler" ;; esac
    cpu=$(metric "$http" process_cpu_seconds_total)
    bytes=$(metric "$http" basilspring_transport_bytes_sent)
    awk -v n="$name" -v r="$role" -v c0="${cpu_before[$file]}" -v c1="$cpu" -v b0="${bytes_before[$file]}" -v b1="$bytes" \
      -v s="$seconds" -v m="$(metric "$http" process_max_resident_memory_bytes)" \
      'BEGIN {printf "| %s | %s | %.2f | %.1f | %.0f |\n", n, r, (c1 - c0) / s * 100, m / 1e6, (b1 - b0) / s}'
  done
  stop_cluster
}

# Measures one cell scheduler with 32, 64 and 128 workers, each an agent and a backend server as processes.
measure_cell() {
  local workers i file scheduler http cpu0 cpu1 sent0 sent1 received0 received1
  echo
  echo "## cell: the scheduler's process by number of workers, idle and with a load, over $seconds s each"
  printf '| workers | load req/s | CPU %% of a core | resident MB | sent B/s | received B/s |\n| --- | --- | --- | --- | --- | --- |\n'
  for workers in 32 64 128; do
    deployment_dir=$work_dir/cell-$workers
    run_dir=$work_dir/cell-run-$workers
    mkdir -p "$deployment_dir"
    printf '[process]\nrole = "entry"\nname = "entry-c"\nregion = "r"\ndata_centre = "c"\n[network]\nlisten = "127.5.0.1:7400"\nhttp = "127.5.0.1:8080"\n[store]\nservers = ["127.5.0.2:2379"]\n[log]\nlevel = "warning"\n' \
      >"$deployment_dir/entry-c.toml"
    for ((i = 1; i <= workers; i++)); do
      printf '[process]\nrole = "agent"\nname = "c-%d"\nregion = "r"\ndata_centre = "c"\nrack = "rack-%d"\n[network]\nlisten = "127.5.1.%d:7500"\nhttp = "127.5.1.%d:8090"\nentries = ["127.5.0.1:7400"]\n[store]\nservers = ["127.5.0.2:2379"]\n[log]\nlevel = "warning"\n' \
        "$i" "$(((i - 1) / 3))" "$i" "$i" >"$deployment_dir/agent-c-$i.toml"
    done
    start_cluster >&2
    BASILSPRING_ENTRY=$(all_entries)
    export BASILSPRING_ENTRY
    "$build_dir/basilspring" workspace create work >"$run_dir/setup.out"
    sleep 5
    scheduler=$("$build_dir/basilspring" status --json | jq -r '.cells[0].scheduler')
    http=${scheduler%:*}:8090
    for load in 0 20 60; do
      cpu0=$(metric "$http" process_cpu_seconds_total)
      sent0=$(metric "$http" basilspring_transport_bytes_sent)
      received0=$(metric "$http" basilspring_transport_bytes_received)
      if [ "$load" -gt 0 ]; then
        "$build_dir/basilspring-standin" load --entries "$BASILSPRING_ENTRY" --workspaces work --seed "$seed" \
          --seconds "$seconds" --rate "$load" --cancel 0 --repeat 0 --non-idempotent 0 \
          --record "$run_dir/load.jsonl" >"$run_dir/load.out" 2>&1 &
        load_id=$!
      fi
      sleep "$seconds"
      cpu1=$(metric "$http" process_cpu_seconds_total)
      sent1=$(metric "$http" basilspring_transport_bytes_sent)
      received1=$(metric "$http" basilspring_transport_bytes_received)
      awk -v w="$workers" -v l="$load" -v c="$cpu0 $cpu1" -v b="$sent0 $sent1" -v g="$received0 $received1" \
        -v s="$seconds" -v m="$(metric "$http" process_max_resident_memory_bytes)" \
        'BEGIN {split(c, x, " "); split(b, y, " "); split(g, z, " ")
          printf "| %d | %d | %.2f | %.1f | %.0f | %.0f |\n", w, l, (x[2] - x[1]) / s * 100, m / 1e6, (y[2] - y[1]) / s, (z[2] - z[1]) / s}'
      if [ "$load" -gt 0 ]; then wait "$load_id" || true; fi
    done
    stop_cluster
  done
}

# Measures how many urgent idempotent requests are answered while the store is down, with and without vouching.
measure_outage() {
  local permits run file start_ms down up
  echo
  echo "## outage: urgent requests, 20 a second for $seconds s, the store down in the middle half"
  printf '| permits | sent while down | answered while down | refused | median ms | p99 ms |\n| --- | --- | --- | --- | --- | --- |\n'
  for ((run = 0; run < runs; run++)); do
    for permits in fail-closed vouching; do
      copy_settings guarantees
      for file in "$deployment_dir"/entry-*.toml; do
        sed -i "s/^placement = .*/&\npermits = \"$permits\"/" "$file"
      done
      run_dir=$work_dir/outage-$permits-$run
      start_cluster >&2
      BASILSPRING_ENTRY=$(all_entries)
      export BASILSPRING_ENTRY
      BASILSPRING=$build_dir/basilspring "$deployment_dir/operator-setup.sh" >"$run_dir/setup.out"
      workspaces=$("$build_dir/basilspring" workspace list | paste -sd,)
      "$build_dir/basilspring-standin" load --entries "$BASILSPRING_ENTRY" --workspaces "$workspaces" \
        --seed "$((seed + run))" --seconds "$seconds" --rate 20 --mix 100,0,0 --gang 0 --cancel 0 --repeat 0 \
        --non-idempotent 0 --record "$run_dir/load.jsonl" >"$run_dir/load.out" 2>&1 &
      load_id=$!
      sleep "$((seconds / 4))"
      curl -fsS -X POST -d '{"mode":"down"}' "http://$store_control/fault" >/dev/null
      down=$("$build_dir/basilspring-standin" record-event "$run_dir/times.jsonl" down >/dev/null && tail -n 1 "$run_dir/times.jsonl" | jq .ms)
      sleep "$((seconds / 2))"
      up=$("$build_dir/basilspring-standin" record-event "$run_dir/times.jsonl" up >/dev/null && tail -n 1 "$run_dir/times.jsonl" | jq .ms)
      curl -fsS -X POST -d '{"mode":"none"}' "http://$store_control/fault" >/dev/null
      wait "$load_id" || true
      # The first 2 s are excluded, because permits from before the outage are still valid then.
      jq -rs --argjson from "$((down + 2000))" --argjson to "$up" --arg permits "$permits" '
        def quantile(q): sort | if length == 0 then 0 else .[((length - 1) * q) | floor] end;
        (map(select(.event == "submitted")) | INDEX(.request | tostring)) as $sent
        | [.[] | select(.event == "submitted" and .ms >= $from and .ms < $to)] as $in
        | [.[] | select(.event == "answered" and .ms >= $from and .ms < $to)] as $done
        | [.[] | select(.event == "refused" and .ms >= $from and .ms < $to)] as $refused
        | [$done[] | .ms - $sent[.request | tostring].ms] as $times
        | "| \($permits) | \($in | length) | \($done | length) | \($refused | length) | \($times | quantile(0.5)) | \($times | quantile(0.99)) |"' \
        "$run_dir/load.jsonl"
      stop_cluster
    done
  done
}

first_data_centre=$(basename "$(find "deploy/$deployment" -name 'entry-*.toml' | sort | head -n 1)" .toml)
first_data_centre=${first_data_centre#entry-}
for part in "${parts[@]}"; do
  case $part in
    latency) measure_latency ;;
    idle) measure_idle ;;
    saturation) if [ "$rate" -gt 0 ]; then compare_policies saturation "$rate"; else compare_policies saturation 80; fi ;;
    datacentre)
      if [ "$rate" -gt 0 ]; then compare_policies datacentre "$rate" out; else compare_policies datacentre 25 out; fi
      ;;
    outage) measure_outage ;;
    cell) measure_cell ;;
  esac
done
