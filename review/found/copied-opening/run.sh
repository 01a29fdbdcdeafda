#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../../target/indigopoint ] || { echo "target/indigopoint is missing: run the build of deploy/system.toml"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=5 110 python3 run.py
