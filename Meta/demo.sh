#!/usr/bin/env bash
# Installs what is missing, builds, and runs the whole path on loopback. Exits 0 only if the draft arrived whole and the payment ran once.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh build
exec python3 Meta/demo.py
