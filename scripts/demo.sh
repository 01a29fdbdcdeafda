#!/usr/bin/env bash
# Runs a deployment on this machine under traffic and checks the guarantees.
# Usage: demo.sh BUILD DEPLOYMENT [SECONDS]
set -eu
# The Python process replaces this shell, so that signals reach it and it can
# end what it started.
exec python3 "$(dirname "$0")/demo.py" "$@"
