#!/usr/bin/env bash
# Measures how costs grow with size and writes the tables of docs/CAPACITY.md. With arguments, only runs the tool with them.
set -eu
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then exec node --expose-gc dist/src/bin/capacity.js "$@"; fi
. scripts/processes.sh
trap stop_all EXIT
samples=$(mktemp)
port=24000
seconds=4
entry="http://127.0.0.1:$((port + 1))"
cpu_seconds () { awk '{ print ($14 + $15) / 100 }' "/proc/$(cat "$WORK/entry-1.pid")/stat"; }
resident_mb () { awk '/VmRSS/ { print $2 / 1024 }' "/proc/$(cat "$WORK/entry-1.pid")/status"; }
read_field () { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }

sample () { # KIND FIELD LOAD_ARGUMENTS...
  local kind=$1 name=$2 before after x
  shift 2
  before=$(cpu_seconds)
  x=$(node dist/src/bin/load.js --url "$entry" --seconds $seconds "$@" | read_field "$name")
  after=$(cpu_seconds)
  echo "{\"kind\":\"$kind\",\"x\":$x,\"y\":$(awk "BEGIN { print ($after - $before) / $seconds }")}" >>"$samples"
}

sample_idle () { # ENGINES
  local before after
  sleep 10 # excludes the start from the measurement
  before=$(cpu_seconds); sleep 10; after=$(cpu_seconds)
  echo "{\"kind\":\"idle-engines\",\"x\":$1,\"y\":$(awk "BEGIN { print ($after - $before) / 10 }")}" >>"$samples"
}

for engines in 5 10 20 40; do
  start_deployment $port 1 1 "$engines" 1
  sample_idle "$engines"
  stop_all; WORK=$(mktemp -d)
done
start_deployment $port 3 1 2 4 10 400
sample requests requestsPerSecond --callers 5 --tokens 1 >/dev/null
: "discards the first sample, a warm-up"; sed -i '/"requests"/d' "$samples"
for callers in 4 8 16 32; do sample requests requestsPerSecond --callers "$callers" --tokens 1; done
for callers in 10 20 40 80; do sample tokens tokensPerSecond --callers "$callers" --tokens 200; done
for callers in 100 200 400 800; do
  node dist/src/bin/load.js --url "$entry" --seconds 3 --callers "$callers" --tokens 100 >/dev/null &
  load=$!
  sleep 2.5
  echo "{\"kind\":\"streams\",\"x\":$callers,\"y\":$(resident_mb)}" >>"$samples"
  wait $load
done
stop_all
cat "$samples"
node --expose-gc dist/src/bin/capacity.js --entry "$samples" --write docs/CAPACITY.md --commit "$(git rev-parse --short HEAD)"
