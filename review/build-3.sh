#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. They are in Python and
# need no compiler; this checks that they load. The forwarder itself is built by the
# command of the deploy file into target/.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib-3 python3 -c 'import fixture'
echo "the stand-ins of review/lib-3 and standins/ load"
