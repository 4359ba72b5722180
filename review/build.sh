#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of the standard library alone, so this only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
