#!/usr/bin/env bash
# Upgrades running forwarders from the program of an earlier commit, back halfway
# and forward again, and then runs both programs side by side under random faults:
# upgrade.sh BUILD COMMIT SEED MINUTES.
set -eu
cd "$(dirname "$0")/.."
build=$1 commit=$2 seed=$3 minutes=$4
if ! git cat-file -e "$commit^{commit}" 2> /dev/null; then
  echo "upgrade: skipped, the history has no commit $commit"
  exit 0
fi
earlier=$build/earlier-$(git rev-parse --short "$commit")
if [ ! -x "$earlier/target/indigopoint" ]; then
  mkdir -p "$earlier"
  git archive "$commit" -- . ':!journal' | tar xf - -C "$earlier"
  cmake -S "$earlier" -B "$earlier/target" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DPROGRAM_ONLY=ON > /dev/null
  cmake --build "$earlier/target" > /dev/null
fi
run() {
  echo "upgrade: from $commit: $*"
  python3 soak/soak.py "$build/indigopoint" --earlier-program "$earlier/target/indigopoint" "$@"
}
run --upgrade --seed "$seed" --minutes 0.1
run --seed "$seed" --minutes "$minutes"
