#!/usr/bin/env bash
# Rewrites src/gen/ from src/protocol.thrift. Needs the package
# thrift-compiler 0.17; the build itself uses the committed files.
set -eu
cd "$(dirname "$0")/.."
command -v thrift > /dev/null || {
  apt-get update -q > /dev/null
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
    --no-install-recommends thrift-compiler > /dev/null
}
rm -rf src/gen
mkdir src/gen
thrift -out src/gen \
  --gen cpp:templates,moveable_types,no_ostream_operators \
  src/protocol.thrift
# The constants files hold only PROTOCOL_VERSION, which wire_codec.cpp names.
rm -f src/gen/protocol_constants.*
