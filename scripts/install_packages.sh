#!/usr/bin/env bash
# Installs the packages of packages.txt that are missing.
set -eu
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done < packages.txt
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -q > /dev/null
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
    --no-install-recommends "${missing[@]}" > /dev/null
fi
