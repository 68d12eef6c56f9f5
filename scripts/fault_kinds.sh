# Kinds of faults for scripts/faults.sh. Each kind has two functions, begin_KIND and end_KIND. To be sourced after
# scripts/cluster.sh by a script that also sets `record_file`, to which every fault and operator action is written.
# shellcheck shell=bash
# shellcheck disable=SC2154  # variables are set by the script that sources this file

# shellcheck disable=SC2034  # used by scripts/faults.sh
fault_kinds=(entry_kill agent_kill scheduler_kill entry_pause agent_pause scheduler_pause store_down store_slow
  store_lose backend_fail backend_hang backend_slow backend_leaving race data_centre stop_entry stop_agent
  stop_scheduler cancel_wave)
# Name of the process, backend server or data centre that an active fault affects, by kind.
declare -A targets=()
wave_ids=()
wave_count=0

# record_event EVENT [KEY=VALUE...]: appends an event to the record file.
record_event() { "$build_dir/basilspring-standin" record-event "$record_file" "$@"; }

describe_processes() {
  local file name place
  for file in "deploy/$deployment"/entry-*.toml; do
    record_event process "process=$(basename "$file" .toml)" role=entry "http=$(setting "$file" http)"
  done
  for file in "deploy/$deployment"/agent-*.toml; do
    name=$(basename "$file" .toml)
    place=/$(setting "$file" region)/$(setting "$file" data_centre)
    record_event process "process=$name" role=agent "backend=backend-$name"
    record_event process "process=backend-$name" role=backend "data_centre=$place"
  done
}

# pick_process VARIABLE ROLE: sets the variable to the name of a random process with this role.
pick_process() {
  local -n picked=$1
  local files=("deploy/$deployment/$2"-*.toml)
  # shellcheck disable=SC2034  # a reference to the caller's variable
  picked=$(basename "${files[RANDOM % ${#files[@]}]}" .toml)
}

# pick_scheduler VARIABLE: sets the variable to the name of an agent that is the scheduler of a random cell, or of a
# random agent if no entry answers.
pick_scheduler() {
  # shellcheck disable=SC2034  # a reference to the caller's variable
  local -n chosen=$1
  local file address index=$RANDOM
  local -a holders
  pick_process chosen agent
  mapfile -t holders < <("$BASILSPRING" status --json 2>/dev/null | jq -r '.cells[] | .scheduler' | sort)
  if [ "${#holders[@]}" -eq 0 ]; then return 0; fi
  address=${holders[index % ${#holders[@]}]}
  for file in "deploy/$deployment"/agent-*.toml; do
    if [ "$(setting "$file" listen)" = "$address" ]; then chosen=$(basename "$file" .toml); fi
  done
}

# restart PROCESS: starts the process again and records it.
restart() {
  case $1 in
    entry-*) start_entry "deploy/$deployment/$1.toml" ;;
    agent-*) start_agent "deploy/$deployment/$1.toml" ;;
  esac
  record_event started "process=$1"
}

kill_now() {
  record_event killed "process=$1"
  kill -KILL "${process_ids[$1]}" 2>/dev/null || true
  wait "${process_ids[$1]}" 2>/dev/null || true
}
pause() {
  record_event paused "process=$1"
  kill -STOP "${process_ids[$1]}"
}
resume() {
  kill -CONT "${process_ids[$1]}"
  record_event resumed "process=$1"
}
stop_gracefully() {
  record_event stop_begun "process=$1"
  kill -TERM "${process_ids[$1]}" 2>/dev/null || true
}
# Waits up to 40 s for the end of a graceful stop and starts the process again. Callers wait at most 20 s for an answer,
# so a stop that takes longer than this limit has failed.
end_stop() {
  local i
  for ((i = 0; i < 400; i++)); do
    kill -0 "${process_ids[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  if kill -0 "${process_ids[$1]}" 2>/dev/null; then
    record_event stop_timeout "process=$1"
    kill -KILL "${process_ids[$1]}"
  else
    record_event stopped "process=$1"
  fi
  wait "${process_ids[$1]}" 2>/dev/null || true
  restart "$1"
}

# set_target KIND ROLE: picks the process that a fault affects; the role is entry, agent or scheduler. It avoids the
# targets of active faults, since the two faults of a pair must not both restart the same process.
set_target() {
  local kind=$1 role=$2 name i used
  for ((i = 0; i < 20; i++)); do
    if [ "$role" = scheduler ]; then pick_scheduler name; else pick_process name "$role"; fi
    used=no
    for other in "${targets[@]}"; do if [ "$other" = "$name" ]; then used=yes; fi; done
    if [ "$used" = no ]; then break; fi
  done
  targets[$kind]=$name
  echo "  $kind: $name"
}
clear_target() { unset "targets[$1]"; }

begin_entry_kill() { set_target entry_kill entry && kill_now "${targets[entry_kill]}"; }
end_entry_kill() { restart "${targets[entry_kill]}" && clear_target entry_kill; }
begin_agent_kill() { set_target agent_kill agent && kill_now "${targets[agent_kill]}"; }
end_agent_kill() { restart "${targets[agent_kill]}" && clear_target agent_kill; }
begin_scheduler_kill() { set_target scheduler_kill scheduler && kill_now "${targets[scheduler_kill]}"; }
end_scheduler_kill() { restart "${targets[scheduler_kill]}" && clear_target scheduler_kill; }
begin_entry_pause() { set_target entry_pause entry && pause "${targets[entry_pause]}"; }
end_entry_pause() { resume "${targets[entry_pause]}" && clear_target entry_pause; }
# With the time for which each fault is held, the pause is longer than the task lease of 10 s.
begin_agent_pause() { set_target agent_pause agent && pause "${targets[agent_pause]}"; }
end_agent_pause() { sleep 7 && resume "${targets[agent_pause]}" && clear_target agent_pause; }
# With the time for which each fault is held, the pause is longer than the cell lease of 4 s.
begin_scheduler_pause() { set_target scheduler_pause scheduler && pause "${targets[scheduler_pause]}"; }
end_scheduler_pause() { sleep 2 && resume "${targets[scheduler_pause]}" && clear_target scheduler_pause; }
begin_stop_entry() { set_target stop_entry entry && stop_gracefully "${targets[stop_entry]}"; }
end_stop_entry() { end_stop "${targets[stop_entry]}" && clear_target stop_entry; }
begin_stop_agent() { set_target stop_agent agent && stop_gracefully "${targets[stop_agent]}"; }
end_stop_agent() { end_stop "${targets[stop_agent]}" && clear_target stop_agent; }
begin_stop_scheduler() { set_target stop_scheduler scheduler && stop_gracefully "${targets[stop_scheduler]}"; }
end_stop_scheduler() { end_stop "${targets[stop_scheduler]}" && clear_target stop_scheduler; }

store_fault() {
  curl -fsS -m 2 -o /dev/null -d "$1" "http://$store_control/fault"
  record_event store_fault "body=$1"
}
begin_store_down() { store_fault '{"mode":"down"}'; }
end_store_down() { store_fault '{"mode":"none"}'; }
begin_store_slow() { store_fault '{"mode":"slow","delay_ms":700}'; }
end_store_slow() { store_fault '{"mode":"none"}'; }
begin_store_lose() { store_fault "{\"mode\":\"lose_answers\",\"percent\":40,\"seed\":$((RANDOM + 1))}"; }
end_store_lose() { store_fault '{"mode":"none"}'; }

# backend_fault AGENT BODY: sets the faults of the backend server beside this agent and records it.
backend_fault() {
  local address
  address=$(setting "deploy/$deployment/$1.toml" http)
  curl -fsS -m 2 -o /dev/null -d "$2" "http://${address%:*}:8091/fault"
  record_event backend_fault "process=backend-$1" "body=$2"
}
begin_backend_fail() { set_target backend_fail agent && backend_fault "${targets[backend_fail]}" '{"fail_all":true}'; }
end_backend_fail() { backend_fault "${targets[backend_fail]}" '{"fail_all":false}' && clear_target backend_fail; }
begin_backend_hang() { set_target backend_hang agent && backend_fault "${targets[backend_hang]}" '{"hang":true}'; }
end_backend_hang() { backend_fault "${targets[backend_hang]}" '{"hang":false}' && clear_target backend_hang; }
begin_backend_slow() { set_target backend_slow agent && backend_fault "${targets[backend_slow]}" '{"slow_ms":1500}'; }
end_backend_slow() { backend_fault "${targets[backend_slow]}" '{"slow_ms":0}' && clear_target backend_slow; }
begin_backend_leaving() {
  set_target backend_leaving agent
  backend_fault "${targets[backend_leaving]}" '{"leaving":true}'
  record_event backend_leaving "process=backend-${targets[backend_leaving]}"
}
end_backend_leaving() {
  record_event backend_staying "process=backend-${targets[backend_leaving]}"
  backend_fault "${targets[backend_leaving]}" '{"leaving":false}'
  clear_target backend_leaving
}

# record_accepted ANSWER-FILE: records the revision that the operator received for an accepted change.
record_accepted() { record_event configuration_accepted "revision=$(jq -r .revision "$1")"; }

begin_data_centre() {
  local file
  pick_process file agent
  targets[data_centre]=/$(setting "deploy/$deployment/$file.toml" region)/$(setting \
    "deploy/$deployment/$file.toml" data_centre)
  echo "  data_centre: ${targets[data_centre]}"
  if "$BASILSPRING" datacentre out "${targets[data_centre]}" --json >"$run_dir/out.answer" 2>>"$run_dir/cli.err"; then
    record_event data_centre_out "data_centre=${targets[data_centre]}"
    record_accepted "$run_dir/out.answer"
  else
    record_event data_centre_out_refused "data_centre=${targets[data_centre]}"
  fi
}
# Repeats "in" until it is accepted, since the store may be unavailable or another operator's change may come first.
end_data_centre() {
  local i code
  for ((i = 0; i < 40; i++)); do
    record_event data_centre_in_sent "data_centre=${targets[data_centre]}"
    code=0
    "$BASILSPRING" datacentre in "${targets[data_centre]}" --json >"$run_dir/in.answer" 2>>"$run_dir/cli.err" || code=$?
    if [ "$code" -eq 0 ]; then
      record_accepted "$run_dir/in.answer"
      break
    fi
    # Exit code 1 is a refusal. With any other code the change may have taken effect.
    if [ "$code" -eq 1 ]; then record_event data_centre_in_refused "data_centre=${targets[data_centre]}"; fi
    sleep 1
  done
  clear_target data_centre
}

# set_run_time ENTRY VALUE: sets a default run time as an operator and records the answer.
set_run_time() {
  if "$BASILSPRING" settings set /bg-south run_time.default_ms "$2" --entry "$1" --json >"$run_dir/race-$2.answer" \
    2>>"$run_dir/cli.err"; then
    record_accepted "$run_dir/race-$2.answer"
  else
    record_event settings_refused "value=$2"
  fi
}
# Two operators set the same key through different entries at the same time.
begin_race() {
  local entries i first second ids=()
  IFS=, read -ra entries <<<"$BASILSPRING_ENTRY"
  for ((i = 0; i < 3; i++)); do
    first=$((20000 + RANDOM)) second=$((60000 + RANDOM))
    set_run_time "${entries[0]}" "$first" &
    ids+=("$!")
    set_run_time "${entries[1]}" "$second" &
    ids+=("$!")
    wait "${ids[@]}" || true
  done
}
end_race() { begin_race; }

# Submits requests for 2 s, all of which are cancelled.
begin_cancel_wave() {
  wave_count=$((wave_count + 1))
  "$build_dir/basilspring-standin" load --entries "$BASILSPRING_ENTRY" --workspaces "$workspaces" \
    --seed "$((seed * 1000 + wave_count))" --seconds 2 --rate 60 --cancel 100 --mix 20,50,30 \
    --record "$run_dir/load-wave-$wave_count.jsonl" >"$run_dir/load-wave-$wave_count.out" 2>&1 &
  wave_ids+=("$!")
}
end_cancel_wave() { :; }
