#!/usr/bin/env bash
# Fails if src/ or include/ contain a name that belongs to the users' platform. Only platform/, its tests and its
# stand-ins may use these names.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(txn|key|range|watch|keep|lease)|run-start|run-stop|fence_token|last_seen|BASILSPRING_BOOT|op/(config|evacuate|wave)|/instances/|expected_rev|api_keys"|target_duration_ms|estimate_ms"|checkpoint_data'
if grep -rnE "$names" src include --include='*.cc' --include='*.h'; then
  echo "the lines above use names of the platform outside platform/" >&2
  exit 1
fi
