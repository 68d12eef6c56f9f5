#!/usr/bin/env bash
# Formats all C++ sources. With --check, changes nothing and fails if a file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = "--check" ]; then mode=(--dry-run --Werror); fi
find include src platform standin tests bench fuzz -name '*.h' -o -name '*.cc' | sort | xargs clang-format "${mode[@]}"
