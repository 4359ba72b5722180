#!/usr/bin/env bash
# Installs the packages that the build and the tests need, on Debian 12. Does nothing if all of them are there.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done < Meta/packages.txt
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
