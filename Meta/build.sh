#!/usr/bin/env bash
# Builds everything into the directory given as the first argument (default: build). Further arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
directory="${1:-build}"
shift || true
cmake -S . -B "$directory" -G Ninja "$@" > "/tmp/jujubehatch-cmake.$$.log" 2>&1 || { cat "/tmp/jujubehatch-cmake.$$.log"; exit 1; }
rm -f "/tmp/jujubehatch-cmake.$$.log"
cmake --build "$directory"
