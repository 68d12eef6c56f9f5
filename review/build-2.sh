#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into review/target-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target-2
echo '*' >target-2/.gitignore
cmake -S tools-2 -B target-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target-2 -j6 --target review-standin
