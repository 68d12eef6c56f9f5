# Functions that start and stop a whole deployment as separate processes on this machine. To be sourced by a script
# that sets `build_dir` (folder with the programs), `run_dir` (folder for logs) and `deployment` (folder below deploy/).
# shellcheck shell=bash
# shellcheck disable=SC2154  # the variables above are set by the script that sources this file

# A script may set deployment_dir to a modified copy of the settings.
deployment_dir=${deployment_dir:-deploy/$deployment}

declare -A process_ids=()

# setting FILE KEY: prints the string value of a key in a settings file.
setting() {
  sed -nE "s/^$2 = \"([^\"]*)\"/\\1/p" "$1" | head -n 1
}

# start_process NAME COMMAND...: runs a process in the background, with its log in run_dir.
start_process() {
  local name=$1
  shift
  "$@" >>"$run_dir/$name.log" 2>>"$run_dir/$name.err" &
  process_ids[$name]=$!
}

# Fails if another deployment runs on the same addresses.
require_free_addresses() {
  local address
  address=$(sed -nE 's/^servers = \["([^"]*)".*/\1/p' "$deployment_dir"/entry-*.toml | head -n 1)
  if curl -fsS -m 2 "http://${address%:*}:2380/stats" >/dev/null 2>&1; then
    echo "another deployment runs on the addresses of $deployment_dir" >&2
    return 1
  fi
}

start_store() {
  store_address=$(sed -nE 's/^servers = \["([^"]*)".*/\1/p' "$deployment_dir"/entry-*.toml | head -n 1)
  store_control=${store_address%:*}:2380
  start_process store "$build_dir/basilspring-standin" store --listen "$store_address" --control "$store_control"
}

start_entry() {
  start_process "$(basename "$1" .toml)" "$build_dir/basilspring" entry --settings "$1"
}

start_agent() {
  start_process "$(basename "$1" .toml)" "$build_dir/basilspring" agent --settings "$1"
}

# start_backend AGENT-SETTINGS: starts the backend server of this agent, of the size in backend_cores and
# backend_memory_mb.
start_backend() {
  local name agent
  name=backend-$(basename "$1" .toml)
  agent=$(setting "$1" http)
  start_process "$name" "$build_dir/basilspring-standin" backend --agent "$agent" --listen "${agent%:*}:8091" \
    --cores "${backend_cores:-60}" --memory-mb "${backend_memory_mb:-133120}" --accelerators 8 --slots 8 \
    --connections 60 --record "$run_dir/$name.jsonl"
}

# Prints the HTTP address of the first entry.
first_entry() {
  local files=("$deployment_dir"/entry-*.toml)
  setting "${files[0]}" http
}

# Prints the HTTP addresses of all entries, separated by commas.
all_entries() {
  local file list=""
  for file in "$deployment_dir"/entry-*.toml; do list+="${list:+,}$(setting "$file" http)"; done
  echo "$list"
}

# wait_until DESCRIPTION COMMAND...: repeats the command until it succeeds, for at most 600 tries 0.1 s apart (60 s).
wait_until() {
  local description=$1 i
  shift
  for ((i = 0; i < 600; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting until $description" >&2
  return 1
}

entry_ready() {
  curl -fsS -m 2 "http://$1/readyz"
}

# Prints the number of cells whose scheduler is ready and the number of their workers, as "CELLS WORKERS".
cell_totals() {
  "$build_dir/basilspring" status --json --entry "$(first_entry)" |
    jq -r '[.cells[] | select(.ready)] | "\(length) \([.[].workers] | add // 0)"'
}

# Prints the number of workers that are known to a ready cell scheduler. An entry receives the status of the cells of
# its own region only, so one entry of each region is queried.
region_workers() {
  local file total=0 seen="" region count
  for file in "$deployment_dir"/entry-*.toml; do
    region=$(setting "$file" region)
    case " $seen " in *" $region "*) continue ;; esac
    seen+=" $region"
    count=$("$build_dir/basilspring" status --json --entry "$(setting "$file" http)" |
      jq --arg region "$region" '[.cells[] | select(.ready and .region == $region) | .workers] | add // 0')
    total=$((total + count))
  done
  echo "$total"
}

all_workers_known() {
  [ "$(region_workers)" -eq "$(find "$deployment_dir" -name 'agent-*.toml' | wc -l)" ]
}

start_cluster() {
  local file
  mkdir -p "$run_dir"
  require_free_addresses
  start_store
  for file in "$deployment_dir"/entry-*.toml; do start_entry "$file"; done
  for file in "$deployment_dir"/agent-*.toml; do
    start_agent "$file"
    start_backend "$file"
  done
  for file in "$deployment_dir"/entry-*.toml; do
    wait_until "$file is ready" entry_ready "$(setting "$file" http)"
  done
  wait_until "all workers are known to their cell schedulers" all_workers_known
}

# Ends all processes in process_ids: SIGTERM, then SIGKILL after 5 s.
stop_cluster() {
  local name
  for name in "${!process_ids[@]}"; do kill -TERM "${process_ids[$name]}" 2>/dev/null || true; done
  for name in "${!process_ids[@]}"; do
    for _ in {1..50}; do
      kill -0 "${process_ids[$name]}" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    wait "${process_ids[$name]}" 2>/dev/null || true
  done
  process_ids=()
}
