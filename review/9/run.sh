#!/usr/bin/env bash
# One worker of eleven, the only one with the label that some jobs require, is unhealthy: it answers orders with 503 and
# does nothing. The queue's count of jobs for which no task has started is asked for over 5 s after their acceptance.
# TROUBLE=0: the same without the disruption. Sent, answered and run is written to record.txt beside this script.
export TROUBLE=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
source "$(dirname "$0")/../tools-2/lib.sh"
start_deployment 11 b
unhealthy=$net.30:8527
# A job that runs on the other workers shows that the deployment works.
succeeds_within 15 submitted 0 /s/00000000000000b0 \
  '{"spec":"300","steps":[{"count":6,"cpu":8000,"mem_mb":16384,"gpu":1,"estimate_ms":300}]}' ||
  finish 2 "a job is not accepted"
succeeds_within 15 in_state 1 /s/00000000000000b0 completed || finish 2 "the first job is not completed"
sleep 3
# set_health STATUS: the worker answers orders with this status from now on.
set_health() {
  curl -fsS -X POST "http://$unhealthy/health" --data-binary "$1" >/dev/null || finish 2 "the worker does not answer"
}
[ "$trouble" = 0 ] || set_health 503
began_at=$(date +%s%3N)

jobs=4
for ((k = 1; k <= jobs; k++)); do
  submitted $((k % 3)) "/s/00000000000000b$k" \
    '{"spec":"60000","steps":[{"count":1,"cpu":8000,"mem_mb":16384,"gpu":1,"estimate_ms":60000,"requires":"b"}]}' ||
    finish 2 "job $k is not accepted"
done
acknowledged_at=$(date +%s%3N)
# visible_ms is 3,000; the rule counts jobs that were accepted over visible_ms + 2 s before.
while [ "$(date +%s%3N)" -lt $((acknowledged_at + 5200)) ]; do sleep 0.05; done
asked=0
wrong=0
# The worker is unhealthy for at most 6.5 s.
while [ "$(date +%s%3N)" -lt $((began_at + 6200)) ]; do
  for entry in 0 1 2; do
    begun=$(cat "$run_dir"/worker-*.seen | { grep -o ' start 00000000000000b[1-4]' || true; } | sort -u | wc -l)
    answer=$(call "$entry" GET /s/)
    [[ $answer =~ \"pending\":\ *([0-9]+) ]] || continue
    pending=${BASH_REMATCH[1]}
    asked=$((asked + 1))
    note "entry $entry gives pending=$pending; $((jobs - begun)) of $jobs jobs have not begun"
    if [ $((pending * 2)) -lt $((jobs - begun)) ]; then wrong=$((wrong + 1)); fi
  done
  sleep 0.1
done
answer=$(call 0 GET /s/00000000000000b1)
[ "$trouble" = 0 ] || set_health 200
note "the worker was unhealthy for $(($(date +%s%3N) - began_at)) ms"
[ "$asked" -gt 0 ] || finish 2 "no count was answered in time"
# The jobs begin when the worker is healthy again.
sleep 4
if [ "$wrong" -gt 0 ]; then
  finish 1 "$wrong of $asked answers give as pending under half of the jobs that have not begun"
fi
finish 0 "all answers give at least half of the jobs that have not begun"
