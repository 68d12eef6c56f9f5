#!/usr/bin/env bash
# Fails if the log events in the code differ from the catalogue in docs/events.md.
set -euo pipefail
cd "$(dirname "$0")/.."
code=$(sed -nE 's/^ *\{EventId::k([A-Za-z0-9]+), *([0-9]+), .*/\2 \1/p' src/process/log_events.cc | sort)
docs=$(sed -nE 's/^\| ([0-9]+) \| `([A-Za-z0-9]+)` \|.*/\1 \2/p' docs/events.md | sort)
if [ -z "$code" ]; then
  echo "no log events found in src/process/log_events.cc" >&2
  exit 1
fi
diff <(echo "$code") <(echo "$docs") || {
  echo "docs/events.md (>) differs from src/process/log_events.cc (<)" >&2
  exit 1
}
