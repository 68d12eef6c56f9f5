#!/usr/bin/env bash
# Runs two entries and three agents as separate processes against the stand-ins of the users' platform, and checks
# what callers and backend servers observe: jobs complete, also across a kill of the scheduler's process, an outage of
# the store and the loss of the store's history; no task has two runs at the same time; a cancelled job ends; wrong keys
# are refused. Exits 0 only if every check passes.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
run_dir=$(mktemp -d)
# Addresses that no other test uses, so that other tests can run at the same time.
store=127.0.3.1:7950
declare -A process_ids=()

cleanup() {
  local id
  for id in "${process_ids[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
  for id in "${process_ids[@]}"; do wait "$id" 2>/dev/null || true; done
}
trap cleanup EXIT

fail() {
  echo "platform path: $*; logs are in $run_dir" >&2
  tail -n 5 "$run_dir"/*.log >&2 || true
  exit 1
}

# start_node NAME
start_node() {
  "$build_dir/basilspring" node --settings "$run_dir/$1.toml" >>"$run_dir/$1.log" 2>&1 &
  process_ids[$1]=$!
}

# write_settings ROLE NAME IP EXTRA-NETWORK-LINES
write_settings() {
  cat >"$run_dir/$2.toml" <<SETTINGS
[process]
role = "$1"
name = "$2"
data_centre = "here"

[network]
peers = "$3:7951"
store = "$store"
seeds = ["127.0.1.1:7951", "127.0.1.2:7951"]
$4
[limits]
longest_lease_ms = 10000
stop_time_ms = 200
processor_share = 1.0
SETTINGS
}

entries=(127.0.1.1 127.0.1.2)
agents=(127.0.2.1 127.0.2.2 127.0.2.3)
platform_arguments=(--store "$store")
for i in "${!entries[@]}"; do
  write_settings entry "entry-$i" "${entries[$i]}" "callers = \"${entries[$i]}:7952\"
readiness = \"${entries[$i]}:7953\"
metrics = \"${entries[$i]}:7954\""
done
for i in "${!agents[@]}"; do
  write_settings agent "agent-$i" "${agents[$i]}" "announcements = \"${agents[$i]}:7955\"
backend = \"${agents[$i]}:7956\""
  platform_arguments+=(--control "${agents[$i]}:7955" --app "${agents[$i]}:7956")
  "$build_dir/basilspring" node --check --settings "$run_dir/agent-$i.toml" >/dev/null
done
"$build_dir/basilspring-standin" platform "${platform_arguments[@]}" >"$run_dir/platform.log" 2>&1 &
process_ids[platform]=$!

# succeeds_within SECONDS COMMAND...: repeats the command every 0.1 s until it succeeds; fails after 10 tries for each
# second.
succeeds_within() {
  local tries=$(($1 * 10))
  shift
  for ((; tries > 0; tries--)); do
    if "$@"; then return 0; fi
    sleep 0.1
  done
  return 1
}
store_up() { curl -fsS -m 2 "http://$store/kv-range?prefix=op/" >/dev/null 2>&1; }
succeeds_within 10 store_up || fail "the store does not answer"
curl -fsS -X POST "http://$store/put?key=op/config" --data-binary '{"version":3,"routes":[{"name":"quotes",
  "host":"shop.example","prefix":"/q/","service":"planner","priority":0,"max_attempts":4,"stretch":1.5,
  "target_duration_ms":400}],"services":[{"name":"planner","enforces_capacity":true}],
  "tenants":[{"name":"shop","api_keys":["secret"],"guaranteed":{"gpu":8}}]}' >/dev/null
for name in entry-0 entry-1 agent-0 agent-1 agent-2; do start_node "$name"; done
ready() { curl -fsS -m 2 "http://$1:7953/ready" >/dev/null 2>&1; }
for ip in "${entries[@]}"; do succeeds_within 15 ready "$ip" || fail "entry $ip is not ready"; done

# call ENTRY METHOD PATH [BODY]: sends a request as a caller and prints "STATUS BODY".
call() {
  curl -sS -m 4 -o "$run_dir/answer" -w '%{http_code} ' -X "$2" -H 'Host: shop.example' -H "Key: ${KEY:-secret}" \
    -H 'Timeout-Ms: 3000' "http://${entries[$1]}:7952$3" --data-binary "${4:-}" 2>/dev/null || true
  cat "$run_dir/answer" 2>/dev/null || true
}
# job_body TASKS WORK-MS: prints the body of a job with one step.
job_body() {
  printf '{"spec":"%d","steps":[{"count":%d,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":%d}]}' "$2" "$1" "$2"
}
# submitted ENTRY JOB BODY: submits a job and succeeds if it is accepted.
submitted() { [[ $(call "$1" POST "/q/$2" "$3") == 200* ]]; }
# in_state ENTRY JOB STATE: succeeds if the entry shows the job in this state.
in_state() { [[ $(call "$1" GET "/q/$2") == *"\"$3\""* ]]; }

submitted 0 0000000000000001 "$(job_body 4 300)" || fail "job 1 is not accepted: $(cat "$run_dir/answer")"
succeeds_within 15 in_state 1 0000000000000001 completed || fail "job 1 is not completed"
submitted 1 0000000000000001 "$(job_body 4 300)" || fail "a repeat of job 1 is not accepted"
[[ $(KEY=wrong call 0 GET /q/0000000000000001) == 401* ]] || fail "a wrong key is not refused"
[[ $(call 0 GET /q/00000000000000ff) == 410* ]] || fail "an unknown job is not 410"
[[ $(call 0 GET /nowhere/) == 404* ]] || fail "an unknown queue is not 404"
[[ $(call 0 POST /q/0000000000000009 '{"steps":7}') == 400* ]] || fail "a malformed job is not 400"

# Kills the process that holds the scheduler's lease while tasks run.
submitted 0 0000000000000002 "$(job_body 6 4000)" || fail "job 2 is not accepted"
succeeds_within 10 in_state 0 0000000000000002 running || fail "job 2 does not run"
holder=$(grep -l 'gained revision' "$run_dir"/*.log | head -n 1)
holder=$(basename "$holder" .log)
kill -KILL "${process_ids[$holder]}"
wait "${process_ids[$holder]}" 2>/dev/null || true
start_node "$holder"
live_entry=1
[ "$holder" = entry-0 ] || live_entry=0
succeeds_within 20 in_state $live_entry 0000000000000002 completed ||
  fail "job 2 is not completed after the kill of $holder"

# Makes the store unavailable for three seconds and drops its history.
submitted $live_entry 0000000000000003 "$(job_body 3 2500)" || fail "job 3 is not accepted"
curl -fsS -X POST "http://$store/fault" --data-binary '{"mode":"busy"}' >/dev/null
sleep 1
[[ $(call $live_entry POST /q/0000000000000004 "$(job_body 1 100)") == 503* ]] || fail "no 503 without the store"
sleep 2
curl -fsS -X POST "http://$store/forget" --data-binary '{}' >/dev/null
curl -fsS -X POST "http://$store/fault" --data-binary '{"mode":"none"}' >/dev/null
succeeds_within 20 in_state $live_entry 0000000000000003 completed || fail "job 3 is not completed after the outage"

# Changed settings take effect without a restart, on a signal and without one.
sed -i 's/^stop_time_ms = .*/stop_time_ms = 250/' "$run_dir/entry-$live_entry.toml"
kill -HUP "${process_ids[entry-$live_entry]}"
reloaded() { grep -q "SettingsReloaded.*$1" "$run_dir/$2.log"; }
succeeds_within 5 reloaded 'cause="SIGHUP" applied=limits.stop_time_ms' "entry-$live_entry" ||
  fail "no reload at SIGHUP"
echo 'no settings' >"$run_dir/agent-1.toml"
succeeds_within 10 reloaded 'kept the former settings' agent-1 || fail "an invalid settings file was not noticed"

# A cancelled job ends.
succeeds_within 10 submitted $live_entry 0000000000000005 "$(job_body 2 30000)" || fail "job 5 is not accepted"
succeeds_within 10 in_state $live_entry 0000000000000005 running || fail "job 5 does not run"
[[ $(call $live_entry DELETE /q/0000000000000005) == 200* ]] || fail "job 5 is not cancelled"
succeeds_within 10 in_state $live_entry 0000000000000005 cancelled || fail "job 5 is not shown as cancelled"
sleep 1

# A job that fits on no worker is refused immediately, but the repeat of an accepted job is accepted.
oversized_body='{"spec":"1","steps":[{"count":1,"cpu":1000,"mem_mb":1000,"gpu":9,"estimate_ms":1}]}'
oversized_jobs=0
# Each try submits a new job, since a job that was accepted before the scheduler knew all workers stays accepted.
oversized_job_refused() {
  oversized_jobs=$((oversized_jobs + 1))
  [[ $(call "$1" POST "/q/$(printf '%016x' $((0xf000 + oversized_jobs)))" "$oversized_body") == 422* ]]
}
succeeds_within 15 oversized_job_refused $live_entry ||
  fail "a job that fits on no worker is not refused: $(cat "$run_dir/answer")"
submitted $live_entry 0000000000000005 "$oversized_body" || fail "the repeat of job 5 is not accepted"

# The history of the backend servers shows that no task had two runs at the same time, and that each of 13 tasks was
# done once.
: >"$run_dir/history"
for ip in "${agents[@]}"; do curl -fsS "http://$ip:7956/history" >>"$run_dir/history"; done
sort -n "$run_dir/history" | awk '
  $2 == "start" { if (running[$3]) { print "task " $3 " has two runs at once"; failed = 1 } running[$3]++ ; next }
  { running[$3]--; if ($2 == "done") done[$3]++ }
  END {
    for (task in running) if (running[task] > 0) { print "task " task " is still running"; failed = 1 }
    for (task in done) { if (done[task] > 1) { print "task " task " was done twice"; failed = 1 } count++ }
    if (count != 13) { print count " tasks were done instead of 13"; failed = 1 }
    exit failed
  }' || fail "the history of the backend servers breaks a rule"
metrics=$(curl -fsS "http://${entries[$live_entry]}:7954/metrics")
grep -q 'basilspring_caller_request_ms_bucket' <<<"$metrics" || fail "no histogram of requests on the metrics address"
echo "platform path: all checks passed"
