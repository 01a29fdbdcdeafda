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
  for run in fuzz_test:40 platform_fuzz_test:3000; do
    RC_PARAMS="seed=$seed max_success=${run#*:} max_size=80" \
      timeout 300 "$build/${run%:*}" --gtest_brief=1 || {
      echo "fuzz: seed $seed of ${run%:*} failed, or was cut off after 300 s"
      exit 1
    }
  done
  seed=$((seed + 1))
done
