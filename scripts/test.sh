#!/usr/bin/env bash
# Installs packages, builds, checks format and lint, and runs all tests. The last lines are the summary of ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
scripts/format.sh --check
scripts/lint.sh
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
exclude=()
if [ -n "$known_red" ]; then
  echo "not run, since listed in KNOWN-RED.txt as failing:"
  cat KNOWN-RED.txt
  exclude=(-E "^(${known_red})\$")
fi
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j 6 "${exclude[@]}"
