# shellcheck shell=bash
# Functions of the scripts of the cases 6 to 10: a small deployment of separate processes on loopback addresses.
# Sourced from review/N/run.sh, which sets TROUBLE and `record`.
set -eEuo pipefail
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
top=$(cd "$case_dir/../.." && pwd)
cd "$top"
trouble=$TROUBLE
standin=review/target-2/review-standin
program=target/basilspring
run_dir=$(mktemp -d)
declare -A process_ids=()
# A network of its own below 127.0.0.0/8, so that all ports are free. Every process has an address of its own.
net=127.$((20 + RANDOM % 200)).$((RANDOM % 200))
store=$net.1:8524

note() { printf '%s %s\n' "$(date +%s%3N)" "$*" >>"$record"; }

cleanup() {
  local id
  for id in "${process_ids[@]}"; do kill -CONT "$id" 2>/dev/null || true; done
  for id in "${process_ids[@]}"; do kill -KILL "$id" 2>/dev/null || true; done
  for id in "${process_ids[@]}"; do wait "$id" 2>/dev/null || true; done
  # The workers' own lines are part of the record, in the order of their time.
  if [ -d "$run_dir" ]; then
    cat "$run_dir"/*.seen >>"$record" 2>/dev/null || true
    sort -s -n -k1,1 -o "$record" "$record"
    if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $run_dir" >&2; else rm -rf "$run_dir"; fi
  fi
}
trap cleanup EXIT
# A command that fails unexpectedly says nothing about the rule.
trap 'echo "line $LINENO: a command has failed" >&2; exit 2' ERR
: >"$record"

# finish 0|1|2 TEXT: ends the script with the verdict.
finish() {
  note "verdict $1: $2"
  echo "verdict $1: $2"
  exit "$1"
}

[ -x "$program" ] && [ -x "$standin" ] || finish 2 "the program or the stand-in is not built"

# write_settings ROLE NAME IP ZONE SHARE: fills in the template of the deploy file for the role.
write_settings() {
  sed -e "s|{{node}}|$2|; s|{{zone}}|$4|; s|{{ip}}|$3|; s|{{internal_port_range.0}}|7000|" \
    -e "s|{{listen.front}}|$3:8521|; s|{{listen.ready}}|$3:8523|; s|{{listen.control}}|$3:8526|" \
    -e "s|{{app}}|$3:8527|; s|{{platform.address}}|$store|" \
    -e "s|^seeds = .*|seeds = [\"$net.11:8526\", \"$net.12:8526\", \"$net.13:8526\"]|" \
    -e "s|{{bounds.hold_max_ms}}|10000|; s|{{bounds.stop_timeout_ms}}|200|; s|{{bounds.grace_s}}|6|" \
    -e "s|{{bounds.status_s}}|120|; s|{{limits.cpu_share}}|$5|" "deploy/$1.toml.template" >"$run_dir/$2.toml"
  if grep -q '{{' "$run_dir/$2.toml"; then finish 2 "the template of $1 has an unknown field"; fi
}

# start_node NAME: starts the process with the command of the deploy file.
start_node() {
  "$program" node --settings "$run_dir/$1.toml" >>"$run_dir/$1.log" 2>&1 &
  process_ids[$1]=$!
}

# kill_process NAME: ends a process that this script has started, with SIGKILL.
kill_process() {
  kill -KILL "${process_ids[$1]}" 2>/dev/null || true
  wait "${process_ids[$1]}" 2>/dev/null || true
  unset "process_ids[$1]"
}

# start_worker K ID [LABEL]: starts the worker beside agent K.
start_worker() {
  "$standin" worker --address "$net.$((20 + $1)):8527" --control "$net.$((20 + $1)):8526" --id "$2" \
    --zone "$(zone_of "$1")" --rack "r1-$(($1 / 3))" --label "${3:-a}" --late "$run_dir/late-$1" \
    >>"$run_dir/worker-$1.seen" 2>&1 &
  process_ids[worker-$1]=$!
}

zone_of() {
  local zones=(ain-draham thala tabarka-hills)
  echo "${zones[$(($1 % 3))]}"
}

# succeeds_within SECONDS COMMAND...: repeats the command every 0.1 s until it succeeds.
succeeds_within() {
  local until=$(($(date +%s%3N) + $1 * 1000))
  shift
  while ! "$@"; do
    [ "$(date +%s%3N)" -lt "$until" ] || return 1
    sleep 0.1
  done
}

store_up() { curl -fsS -m 2 "http://$store/kv-range?prefix=op/" >/dev/null 2>&1; }
entry_ready() { curl -fsS -m 2 "http://$net.$((11 + $1)):8523/ready" >/dev/null 2>&1; }

# start_deployment WORKERS [LABEL-OF-THE-LAST]: the store, three entries, and agents with a worker each.
start_deployment() {
  "$standin" store --address "$store" >>"$run_dir/store.seen" 2>&1 &
  process_ids[store]=$!
  succeeds_within 10 store_up || finish 2 "the store does not answer"
  curl -fsS -X POST "http://$store/put?key=op/config" --data-binary '{"version":3,"routes":[
    {"name":"urgent","host":"ice.example","prefix":"/u/","service":"planner","priority":0,"max_attempts":4,
     "stretch":1.5,"target_duration_ms":400},
    {"name":"survey","host":"ice.example","prefix":"/s/","service":"planner","priority":1,"max_attempts":4,
     "stretch":3.0,"target_duration_ms":1200}],
    "services":[{"name":"planner","enforces_capacity":true}],
    "tenants":[{"name":"north","api_keys":["key-north"],"guaranteed":{"gpu":8}},
     {"name":"south","api_keys":["key-south"],"guaranteed":{"gpu":8}}]}' >/dev/null
  local i
  for i in 0 1 2; do
    write_settings entry "entry-$i" "$net.$((11 + i))" "$(zone_of "$i")" 0.25
    start_node "entry-$i"
  done
  for ((i = 0; i < $1; i++)); do
    write_settings agent "agent-$i" "$net.$((20 + i))" "$(zone_of "$i")" 0.15
    start_node "agent-$i"
  done
  for ((i = 0; i < $1; i++)); do
    if [ $((i + 1)) -eq "$1" ]; then start_worker "$i" "i-$i" "${2:-a}"; else start_worker "$i" "i-$i"; fi
  done
  for i in 0 1 2; do succeeds_within 20 entry_ready "$i" || finish 2 "entry $i is not ready"; done
}

# call ENTRY METHOD PATH [BODY]: sends a request as a consumer, records both, and prints "STATUS BODY".
call() {
  local answer status
  status=$(curl -sS -m 4 -o "$run_dir/answer" -w '%{http_code}' -X "$2" -H 'Host: ice.example' \
    -H "Key: ${KEY:-key-north}" -H 'Timeout-Ms: 3000' "http://$net.$((11 + $1)):8521$3" --data-binary "${4:-}" \
    2>/dev/null) || true
  answer=$(cat "$run_dir/answer" 2>/dev/null || true)
  : >"$run_dir/answer"
  local sent=${4:-}
  note "consumer at entry $1: $2 $3 ${sent:0:200} -> $status $answer"
  echo "$status $answer"
}

submitted() { [[ $(call "$1" POST "$2" "$3") == 200* ]]; }
in_state() { [[ $(call "$1" GET "$2") == "200 "*"\"$3\""* ]]; }
