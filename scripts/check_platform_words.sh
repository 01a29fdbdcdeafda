#!/usr/bin/env bash
# Fails if a word of the users' platform stands outside platform/ and the tests
# of its codecs.
set -u
cd "$(dirname "$0")/.."
words='kv-(key|range|watch|txn|lease|keep)|ColdLeftMs|StoreRevision|CreateRev'
words+='|WaitMs|StaleOk|HasMore|HeartbeatMs|IdleTimeoutMs|RouteType'
words+='|INDIGOPOINT_NODE_FILE|op/config|"servers/|/readiness'
if git grep -nE "$words" -- src standins measure bench; then
  echo "words of the platform belong into platform/"
  exit 1
fi
echo "platform words: clean"
