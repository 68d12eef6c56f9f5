#!/usr/bin/env bash
# Configures and builds into build/ (or the folder in BUILD_DIR). Passes its arguments to the configuring cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
# ccache reuses objects built with a precompiled header only with these settings. They are safe here because no source
# uses __DATE__.
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_BASEDIR=$PWD
cmake -S . -B "$build_dir" -G Ninja "$@" >/dev/null
cmake --build "$build_dir"
