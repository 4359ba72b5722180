#!/usr/bin/env bash
# Renews the committed C++ code of every Thrift file in Libraries. Needs Debian's thrift-compiler 0.17; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/.."
for idl in Libraries/*/*.thrift; do
    directory="$(dirname "$idl")/Generated"
    mkdir -p "$directory"
    thrift --gen cpp:no_skeleton,moveable_types -out "$directory" "$idl"
done
