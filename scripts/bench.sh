#!/usr/bin/env bash
# Runs the codec benchmarks and compares one instance with a bare forwarder over
# loopback. Usage: scripts/bench.sh BUILD [SECONDS [ROUNDS]]
set -eu
build=$1
"$build/indigopoint_bench"
"$build/indigopoint_bench" --loopback "${2:-3}" "${3:-3}"
