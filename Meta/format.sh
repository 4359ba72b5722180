#!/usr/bin/env bash
# Formats all C++ sources, or with --check only reports those that differ. Generated code is left alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '/Generated/')
if [ "${1:-}" = "--check" ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
