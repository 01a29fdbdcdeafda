#!/usr/bin/env bash
# Fails if a word of the users' platform stands outside platform/, the tests of
# its codecs and its stand-in.
set -u
cd "$(dirname "$0")/.."
words='kv-(key|range|watch|txn|lease|keep)|ColdLeftMs|StoreRevision|CreateRev'
words+='|StaleOk|HasMore|HeartbeatMs|IdleTimeoutMs|RouteType'
words+='|INDIGOPOINT_NODE_FILE|op/config|"servers/|/readiness'
if git grep -nE "$words" -- src measure bench soak \
  standins ":!standins/flow_platform.py"; then
  echo "words of the platform belong into platform/"
  exit 1
fi
echo "platform words: clean"
