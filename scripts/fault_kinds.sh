# Kinds of faults for scripts/faults.sh, each a pair of functions begin_KIND and end_KIND. Needs what
# scripts/cluster.sh needs, and `record_file`. Each fault is written to the operators' record.
# shellcheck shell=bash
# shellcheck disable=SC2154  # variables are set by the script that sources this file

# shellcheck disable=SC2034  # used by scripts/faults.sh
fault_kinds=(entry_kill agent_kill scheduler_kill entry_pause agent_pause scheduler_pause store_down store_slow
  store_lose backend_fail backend_hang backend_slow backend_leaving race data_centre stop_entry stop_agent
  stop_scheduler cancel_wave)
# Name of the process, backend server or data centre that a running fault hit, by kind.
declare -A targets=()
wave_ids=()
wave_count=0

record() { "$build_dir/basilspring-standin" record-event "$record_file" "$@"; }

describe_processes() {
  local file name place
  for file in "deploy/$deployment"/entry-*.toml; do
    record process "process=$(basename "$file" .toml)" role=entry "http=$(setting "$file" http)"
  done
  for file in "deploy/$deployment"/agent-*.toml; do
    name=$(basename "$file" .toml)
    place=/$(setting "$file" region)/$(setting "$file" data_centre)
    record process "process=$name" role=agent "backend=backend-$name"
    record process "process=backend-$name" role=backend "data_centre=$place"
  done
}

# pick VARIABLE PATTERN: names a random settings file of the deployment.
pick() {
  local -n picked=$1
  local files=("deploy/$deployment/$2"-*.toml)
  # shellcheck disable=SC2034  # a reference to the caller's variable
  picked=$(basename "${files[RANDOM % ${#files[@]}]}" .toml)
}

# Names the agent that is the scheduler of a random cell.
pick_scheduler() {
  # shellcheck disable=SC2034  # a reference to the caller's variable
  local -n chosen=$1
  local file address index=$RANDOM
  local -a holders
  pick chosen agent
  mapfile -t holders < <("$BASILSPRING" status --json 2>/dev/null | jq -r '.cells[] | .scheduler' | sort)
  if [ "${#holders[@]}" -eq 0 ]; then return 0; fi
  address=${holders[index % ${#holders[@]}]}
  for file in "deploy/$deployment"/agent-*.toml; do
    if [ "$(setting "$file" listen)" = "$address" ]; then chosen=$(basename "$file" .toml); fi
  done
}

restart() {
  case $1 in
    entry-*) start_entry "deploy/$deployment/$1.toml" ;;
    agent-*) start_agent "deploy/$deployment/$1.toml" ;;
  esac
  record started "process=$1"
}

kill_now() {
  record killed "process=$1"
  kill -KILL "${process_ids[$1]}" 2>/dev/null || true
  wait "${process_ids[$1]}" 2>/dev/null || true
}
pause() {
  record paused "process=$1"
  kill -STOP "${process_ids[$1]}"
}
resume() {
  kill -CONT "${process_ids[$1]}"
  record resumed "process=$1"
}
stop_gracefully() {
  record stop_begun "process=$1"
  kill -TERM "${process_ids[$1]}" 2>/dev/null || true
}
# Waits for the end of a graceful stop and starts the process again. Callers wait 20 s at most.
end_stop() {
  local i
  for ((i = 0; i < 400; i++)); do
    kill -0 "${process_ids[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  if kill -0 "${process_ids[$1]}" 2>/dev/null; then
    record stop_timeout "process=$1"
    kill -KILL "${process_ids[$1]}"
  else
    record stopped "process=$1"
  fi
  wait "${process_ids[$1]}" 2>/dev/null || true
  restart "$1"
}

# Two faults of a pair must not restart the same process twice: the second one is given another target.
choose() {
  local kind=$1 pattern=$2 name i used
  for ((i = 0; i < 20; i++)); do
    if [ "$pattern" = scheduler ]; then pick_scheduler name; else pick name "$pattern"; fi
    used=no
    for other in "${targets[@]}"; do if [ "$other" = "$name" ]; then used=yes; fi; done
    if [ "$used" = no ]; then break; fi
  done
  targets[$kind]=$name
  echo "  $kind: $name"
}
release() { unset "targets[$1]"; }

begin_entry_kill() { choose entry_kill entry && kill_now "${targets[entry_kill]}"; }
end_entry_kill() { restart "${targets[entry_kill]}" && release entry_kill; }
begin_agent_kill() { choose agent_kill agent && kill_now "${targets[agent_kill]}"; }
end_agent_kill() { restart "${targets[agent_kill]}" && release agent_kill; }
begin_scheduler_kill() { choose scheduler_kill scheduler && kill_now "${targets[scheduler_kill]}"; }
end_scheduler_kill() { restart "${targets[scheduler_kill]}" && release scheduler_kill; }
begin_entry_pause() { choose entry_pause entry && pause "${targets[entry_pause]}"; }
end_entry_pause() { resume "${targets[entry_pause]}" && release entry_pause; }
# Longer than the task lease of 10 s, together with the time that each fault is held.
begin_agent_pause() { choose agent_pause agent && pause "${targets[agent_pause]}"; }
end_agent_pause() { sleep 7 && resume "${targets[agent_pause]}" && release agent_pause; }
# Longer than the cell lease of 4 s.
begin_scheduler_pause() { choose scheduler_pause scheduler && pause "${targets[scheduler_pause]}"; }
end_scheduler_pause() { sleep 2 && resume "${targets[scheduler_pause]}" && release scheduler_pause; }
begin_stop_entry() { choose stop_entry entry && stop_gracefully "${targets[stop_entry]}"; }
end_stop_entry() { end_stop "${targets[stop_entry]}" && release stop_entry; }
begin_stop_agent() { choose stop_agent agent && stop_gracefully "${targets[stop_agent]}"; }
end_stop_agent() { end_stop "${targets[stop_agent]}" && release stop_agent; }
begin_stop_scheduler() { choose stop_scheduler scheduler && stop_gracefully "${targets[stop_scheduler]}"; }
end_stop_scheduler() { end_stop "${targets[stop_scheduler]}" && release stop_scheduler; }

store_fault() {
  curl -fsS -m 2 -o /dev/null -d "$1" "http://$store_control/fault"
  record store_fault "body=$1"
}
begin_store_down() { store_fault '{"mode":"down"}'; }
end_store_down() { store_fault '{"mode":"none"}'; }
begin_store_slow() { store_fault '{"mode":"slow","delay_ms":700}'; }
end_store_slow() { store_fault '{"mode":"none"}'; }
begin_store_lose() { store_fault "{\"mode\":\"lose_answers\",\"percent\":40,\"seed\":$((RANDOM + 1))}"; }
end_store_lose() { store_fault '{"mode":"none"}'; }

# backend_fault AGENT BODY
backend_fault() {
  local address
  address=$(setting "deploy/$deployment/$1.toml" http)
  curl -fsS -m 2 -o /dev/null -d "$2" "http://${address%:*}:8091/fault"
  record backend_fault "process=backend-$1" "body=$2"
}
begin_backend_fail() { choose backend_fail agent && backend_fault "${targets[backend_fail]}" '{"fail_all":true}'; }
end_backend_fail() { backend_fault "${targets[backend_fail]}" '{"fail_all":false}' && release backend_fail; }
begin_backend_hang() { choose backend_hang agent && backend_fault "${targets[backend_hang]}" '{"hang":true}'; }
end_backend_hang() { backend_fault "${targets[backend_hang]}" '{"hang":false}' && release backend_hang; }
begin_backend_slow() { choose backend_slow agent && backend_fault "${targets[backend_slow]}" '{"slow_ms":1500}'; }
end_backend_slow() { backend_fault "${targets[backend_slow]}" '{"slow_ms":0}' && release backend_slow; }
begin_backend_leaving() {
  choose backend_leaving agent
  backend_fault "${targets[backend_leaving]}" '{"leaving":true}'
  record backend_leaving "process=backend-${targets[backend_leaving]}"
}
end_backend_leaving() {
  record backend_staying "process=backend-${targets[backend_leaving]}"
  backend_fault "${targets[backend_leaving]}" '{"leaving":false}'
  release backend_leaving
}

# Records what the operator was told: accepted ANSWER-FILE
accepted() { record configuration_accepted "revision=$(jq -r .revision "$1")"; }

begin_data_centre() {
  local file
  pick file agent
  targets[data_centre]=/$(setting "deploy/$deployment/$file.toml" region)/$(setting \
    "deploy/$deployment/$file.toml" data_centre)
  echo "  data_centre: ${targets[data_centre]}"
  if "$BASILSPRING" datacentre out "${targets[data_centre]}" --json >"$run_dir/out.answer" 2>>"$run_dir/cli.err"; then
    record data_centre_out "data_centre=${targets[data_centre]}"
    accepted "$run_dir/out.answer"
  else
    record data_centre_out_refused "data_centre=${targets[data_centre]}"
  fi
}
# Repeats "in" until it is accepted, since the store can be away or another operator faster.
end_data_centre() {
  local i code
  for ((i = 0; i < 40; i++)); do
    record data_centre_in_sent "data_centre=${targets[data_centre]}"
    code=0
    "$BASILSPRING" datacentre in "${targets[data_centre]}" --json >"$run_dir/in.answer" 2>>"$run_dir/cli.err" || code=$?
    if [ "$code" -eq 0 ]; then
      accepted "$run_dir/in.answer"
      break
    fi
    # Exit code 1 is a refusal; any other may hide that the change took effect.
    if [ "$code" -eq 1 ]; then record data_centre_in_refused "data_centre=${targets[data_centre]}"; fi
    sleep 1
  done
  release data_centre
}

# Two operators set the same key at different entries at the same moment.
race_one() {
  if "$BASILSPRING" settings set /bg-south run_time.default_ms "$2" --entry "$1" --json >"$run_dir/race-$2.answer" \
    2>>"$run_dir/cli.err"; then
    accepted "$run_dir/race-$2.answer"
  else
    record settings_refused "value=$2"
  fi
}
begin_race() {
  local entries i first second ids=()
  IFS=, read -ra entries <<<"$BASILSPRING_ENTRY"
  for ((i = 0; i < 3; i++)); do
    first=$((20000 + RANDOM)) second=$((60000 + RANDOM))
    race_one "${entries[0]}" "$first" &
    ids+=("$!")
    race_one "${entries[1]}" "$second" &
    ids+=("$!")
    wait "${ids[@]}" || true
  done
}
end_race() { begin_race; }

# A burst of requests that are all cancelled.
begin_cancel_wave() {
  wave_count=$((wave_count + 1))
  "$build_dir/basilspring-standin" load --entries "$BASILSPRING_ENTRY" --workspaces "$workspaces" \
    --seed "$((seed * 1000 + wave_count))" --seconds 2 --rate 60 --cancel 100 --mix 20,50,30 \
    --record "$run_dir/load-wave-$wave_count.jsonl" >"$run_dir/load-wave-$wave_count.out" 2>&1 &
  wave_ids+=("$!")
}
end_cancel_wave() { :; }
