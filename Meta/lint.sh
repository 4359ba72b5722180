#!/usr/bin/env bash
# Runs clang-tidy over the sources of libraries, services and utilities, or over those given as arguments. Warnings are errors. Needs a build directory.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp' | grep -v '/Generated/')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> /tmp/jujubehatch-tidy.$$.log || { cat /tmp/jujubehatch-tidy.$$.log; exit 1; }
rm -f /tmp/jujubehatch-tidy.$$.log
