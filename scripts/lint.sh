#!/usr/bin/env bash
# Checks the format and runs clang-tidy on every source file of the project.
set -eu
cd "$(dirname "$0")/.."
build=$1
scripts/check_platform_words.sh
files=$(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '^src/gen/')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $files
git ls-files -co --exclude-standard '*.cpp' | grep -v '^src/gen/' |
  xargs -P 8 -n 2 clang-tidy --quiet -p "$build" 2> "$build/clang-tidy.log" ||
  { cat "$build/clang-tidy.log"; exit 1; }
echo "lint: clean"
