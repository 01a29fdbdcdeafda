#!/usr/bin/env bash
# Runs the stateful properties for about two minutes, beginning with the given
# seed. The limit of five minutes per seed bounds the shrinking of a failed case.
set -u
cd "$(dirname "$0")/.."
build=$1
seed=$2
end=$((SECONDS + 120))
while [ $SECONDS -lt $end ]; do
  echo "fuzz: seed $seed"
  RC_PARAMS="seed=$seed max_success=40 max_size=80" \
    timeout 300 "$build/fuzz_test" --gtest_brief=1 || {
    echo "fuzz: seed $seed failed, or was cut off after 300 s"
    exit 1
  }
  seed=$((seed + 1))
done
