#!/usr/bin/env bash
# Checks what the scripts of the cases 6 to 10 and of two findings start beside the program of the deploy file: their
# own stand-ins and standins/flow_platform.py, which are Python without packages. Nothing of them
# has to be compiled.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for part in standins/flow_platform.py review/lib-2/*.py review/{6,7,8,9,10}/run.py review/found/{slow-link,copied-opening}/run.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$part"
done
python3 -c 'import sys; sys.path.insert(0, "review/lib-2"); import case'
echo "the stand-ins of the cases 6 to 10 can run"
