#!/usr/bin/env bash
# Runs two entries and an agent as separate processes against the stand-ins of the users' platform, and checks that an
# acknowledged cancellation is final: while an entry is suspended with the submission in its socket or with a write that
# was sent, while the store does not respond, loses its answers or carries out writes late, for a job that runs, and
# after an entry was restarted. tests/fleet/entry_cancel_test.cc has the cases that need exact timing. Exits 0 only if
# every check passes.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
run_dir=$(mktemp -d)
# Addresses that no other test uses.
store=127.0.15.1:7950
entries=(127.0.13.1 127.0.13.2)
agent=127.0.14.1
# Bounds in seconds: until no task of a cancelled job starts (cancel_ms), and until its runs have ended after that (the
# longest stop_timeout_ms), plus one poll of a slow machine.
settle_s=5
declare -A process_ids=()

cleanup() {
  local id
  for id in "${process_ids[@]}"; do kill -CONT "$id" 2>/dev/null || true; done
  for id in "${process_ids[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
  for id in "${process_ids[@]}"; do wait "$id" 2>/dev/null || true; done
}
trap cleanup EXIT

fail() {
  echo "cancel cases: $*; logs are in $run_dir" >&2
  tail -n 5 "$run_dir"/*.log >&2 || true
  exit 1
}

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
seeds = ["${entries[0]}:7951", "${entries[1]}:7951"]
$4
[limits]
longest_lease_ms = 10000
stop_time_ms = 200
processor_share = 1.0
SETTINGS
}

for i in "${!entries[@]}"; do
  write_settings entry "entry-$i" "${entries[$i]}" "callers = \"${entries[$i]}:7952\"
readiness = \"${entries[$i]}:7953\""
done
write_settings agent agent-0 "$agent" "announcements = \"$agent:7955\"
backend = \"$agent:7956\""
"$build_dir/basilspring-standin" platform --store "$store" --control "$agent:7955" --app "$agent:7956" \
  >"$run_dir/platform.log" 2>&1 &
process_ids[platform]=$!

# succeeds_within SECONDS COMMAND...: repeats the command every 0.1 s until it succeeds.
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
  "host":"shop.example","prefix":"/q/","service":"planner","public":true}],
  "services":[{"name":"planner","enforces_capacity":true}]}' >/dev/null
for name in entry-0 entry-1 agent-0; do start_node "$name"; done
ready() { curl -fsS -m 2 "http://$1:7953/ready" >/dev/null 2>&1; }
for ip in "${entries[@]}"; do succeeds_within 15 ready "$ip" || fail "entry $ip is not ready"; done

# call ENTRY METHOD JOB [BODY [SECONDS]]: sends a request as a caller and prints its status; 000 without an answer.
call() {
  curl -sS -m "${5:-5}" -o "$run_dir/answer-$3" -w '%{http_code}' -X "$2" -H 'Host: shop.example' \
    -H 'Timeout-Ms: 3000' "http://${entries[$1]}:7952/q/$3" --data-binary "${4:-}" 2>/dev/null || true
}
job_body='{"spec":"20000","steps":[{"count":2,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":20000}]}'
fault() { curl -fsS -X POST "http://$store/fault" --data-binary "{\"mode\":\"$1\"}" >/dev/null; }
# answers STATUS ENTRY METHOD JOB: succeeds if the entry answers with one of the statuses, for example "200|410".
answers() { [[ $(call "$2" "$3" "$4" "$([ "$3" = POST ] && echo "$job_body")") =~ ^($1)$ ]]; }
in_state() { [ "$(call "$1" GET "$2")" = 200 ] && grep -q "\"$3\"" "$run_dir/answer-$2"; }
# starts_of JOB: prints the number of runs of the job that the backend server has started.
starts_of() { curl -fsS "http://$agent:7956/history" | awk -v job="$1" '$2 == "start" && index($3, job)' | wc -l; }
# The jobs that must never run are checked at the end.
never=()

# Suspension before the request is read; the caller gives up in one case and waits in the other.
kill -STOP "${process_ids[entry-0]}"
[ "$(call 0 POST 0000000000000001 "$job_body" 1)" = 000 ] || fail "a suspended entry answers"
call 0 POST 0000000000000002 "$job_body" 20 >"$run_dir/status-2" &
waiting=$!
sleep 0.3
for job in 0000000000000001 0000000000000002; do
  succeeds_within 20 answers 410 1 DELETE $job || fail "job $job is not cancelled while entry 0 is suspended"
  never+=("$job")
done
kill -CONT "${process_ids[entry-0]}"
wait "$waiting"
[[ $(<"$run_dir/status-2") =~ ^(409|504)$ ]] || fail "the caller that waited was answered $(<"$run_dir/status-2")"
succeeds_within 20 answers 409 0 POST 0000000000000001 || fail "a submission after the cancellation is not 409"
answers 410 0 DELETE 0000000000000001 || fail "a repeated cancellation is not acknowledged by the resumed entry"

# Suspension after the write was sent, which the store carries out late.
fault late
call 0 POST 0000000000000003 "$job_body" 20 >"$run_dir/status-3" &
waiting=$!
sleep 0.3
kill -STOP "${process_ids[entry-0]}"
fault none
succeeds_within 20 answers '200|410' 1 DELETE 0000000000000003 || fail "job 3 is not cancelled"
never+=(0000000000000003)
sleep 3
kill -CONT "${process_ids[entry-0]}"
wait "$waiting"
succeeds_within 20 answers '200|409' 1 POST 0000000000000003 || fail "job 3 is not answered after its cancellation"

# Without an answer of the store a cancellation is not acknowledged, and the caller repeats it.
number=16
for mode in silent busy one_way late lost; do
  job=$(printf '%016x' $number)
  number=$((number + 1))
  fault $mode
  status=$(call 1 DELETE "$job")
  # A write that is repeated on the way through a peer may be answered in these modes.
  [[ $status == 504 ]] || [[ $mode =~ ^(late|lost)$ && $status == 410 ]] ||
    fail "a cancellation was answered $status in the mode $mode"
  fault none
  succeeds_within 20 answers 410 0 DELETE "$job" || fail "the cancellation after the mode $mode is not acknowledged"
  # 503 comes first if the entry does not know yet that the store is back.
  succeeds_within 20 answers 409 1 POST "$job" || fail "a cancelled job is not refused as such after the mode $mode"
  never+=("$job")
done

# A job that runs is cancelled through the other entry; the same id is submitted again. Its runs show that the check for
# starts can see one.
succeeds_within 20 answers 200 0 POST 0000000000000005 || fail "job 5 is not accepted"
# The phase is "running" as soon as the start is decided, which may be before the backend server gets it.
both_started() { [ "$(starts_of 0000000000000005)" = 2 ]; }
succeeds_within 20 both_started || fail "job 5 does not run"
in_state 1 0000000000000005 running || fail "job 5 is not shown as running"
succeeds_within 10 answers 200 1 DELETE 0000000000000005 || fail "job 5 is not cancelled"
answers 200 0 POST 0000000000000005 || fail "the repeat of job 5 is not answered as before"
sleep $settle_s
starts=$(starts_of 0000000000000005)
in_state 0 0000000000000005 cancelled || fail "job 5 is not shown as cancelled"

# An entry that restarts.
kill -KILL "${process_ids[entry-0]}"
wait "${process_ids[entry-0]}" 2>/dev/null || true
start_node entry-0
succeeds_within 15 ready "${entries[0]}" || fail "the restarted entry is not ready"
for job in "${never[@]}"; do
  succeeds_within 20 answers '200|409' 0 POST "$job" || fail "job $job is not answered by the restarted entry"
done
curl -fsS -X POST "http://$store/forget" --data-binary '{}' >/dev/null
sleep $settle_s
for job in "${never[@]}"; do
  [ "$(starts_of "$job")" = 0 ] || fail "job $job ran after its cancellation was acknowledged"
done
[ "$(starts_of 0000000000000005)" = "$starts" ] || fail "job 5 started again after its cancellation"
curl -fsS "http://$agent:7956/history" | sort -n | awk '{ running[$3] += $2 == "start" ? 1 : -1 }
  END { for (task in running) if (running[task] > 0) { print "task " task " is still running"; exit 1 } }' ||
  fail "a task of a cancelled job is still running"
echo "cancel cases: all checks passed"
