#!/usr/bin/env bash
# Fails if an identifier of the deployment platform's API occurs outside
# platform/, the tests of its codecs and its stand-in.
set -u
cd "$(dirname "$0")/.."
words='kv-(key|range|watch|txn|lease|keep)|ColdLeftMs|StoreRevision|CreateRev'
words+='|StaleOk|HasMore|HeartbeatMs|IdleTimeoutMs|RouteType'
words+='|INDIGOPOINT_NODE_FILE|op/config|op/evacuate|"servers/|/readiness'
if git grep -nE "$words" -- src measure bench soak \
  standins ":!standins/flow_platform.py"; then
  echo "identifiers of the platform's API are only allowed in platform/"
  exit 1
fi
echo "no identifiers of the API outside platform/"
