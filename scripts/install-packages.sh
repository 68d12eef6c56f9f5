#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy shellcheck spin curl jq
  libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev libboost-json1.81-dev
  libcereal-dev libtclap-dev libtomlplusplus-dev libfmt-dev libxxhash-dev
  libgtest-dev libbenchmark-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then exit 0; fi
sudo_command=()
if [ "$(id -u)" -ne 0 ]; then sudo_command=(sudo); fi
"${sudo_command[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
