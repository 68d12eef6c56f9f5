#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, the project's own store stand-in included, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review >/dev/null
cmake --build build-review -j 6
