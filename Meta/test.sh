#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. Arguments go to ctest, for example: Meta/test.sh -R Settings
# Tests listed in KNOWN-RED.txt run and are printed, and do not decide the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh build
exec python3 Meta/run_tests.py build "$@"
