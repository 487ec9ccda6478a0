#!/usr/bin/env bash
# Measures the latency that the entry box adds to a request, and the throughput of one entry process.
# Prints one JSON object per run. The figures depend on the machine and its current load.
set -eu
cd "$(dirname "$0")/.."
. scripts/processes.sh
trap stop_all EXIT
seconds=${1:-6}
port=23000
start_deployment $port 3 1 2 4 4 400
entry="http://127.0.0.1:$((port + 1))"
engines="http://127.0.0.1:$((port + 101)),http://127.0.0.1:$((port + 201)),http://127.0.0.1:$((port + 301)),http://127.0.0.1:$((port + 401))"
load () { node dist/src/bin/load.js --seconds "$seconds" "$@"; }
cpu_seconds () { awk '{ printf "%.2f", ($14 + $15) / 100 }' "/proc/$(cat "$WORK/entry-1.pid")/stat"; }
resident_mb () { awk '/VmRSS/ { printf "%d", $2 / 1024 }' "/proc/$(cat "$WORK/entry-1.pid")/status"; }

node dist/src/bin/load.js --name warm-up --url "$entry" --callers 50 --seconds 2 >/dev/null
# Callers pause for a random time between requests; without it they synchronise with the engines' batches.
load --name direct-50 --url "$engines" --callers 50 --tokens 30 --think 40
load --name entry-50 --url "$entry" --callers 50 --tokens 30 --think 40
load --name direct-50-again --url "$engines" --callers 50 --tokens 30 --think 40
load --name entry-50-again --url "$entry" --callers 50 --tokens 30 --think 40
before=$(cpu_seconds)
load --name short-a --url "$entry" --callers 60 --tokens 1 &
load --name short-b --url "$entry" --callers 60 --tokens 1
wait %% 2>/dev/null || true
after=$(cpu_seconds)
echo "{\"name\":\"short-cpu\",\"entryCpuSeconds\":$(awk "BEGIN { print $after - $before }"),\"residentMB\":$(resident_mb)}"
before=$(cpu_seconds)
jobs=()
for n in a b c; do load --name "tokens-$n" --url "$entry" --callers 200 --tokens 200 & jobs+=($!); done
wait "${jobs[@]}"
after=$(cpu_seconds)
echo "{\"name\":\"tokens-cpu\",\"entryCpuSeconds\":$(awk "BEGIN { print $after - $before }"),\"residentMB\":$(resident_mb)}"
load --name claims --url "$entry" --callers 200 --service /v1/services/bookings/confirm
stop_all; WORK=$(mktemp -d)
start_deployment $port 3 3 1 1
three="$entry,http://127.0.0.1:$((port + 2)),http://127.0.0.1:$((port + 3))"
jobs=()
for n in a b; do load --name "claims-three-$n" --url "$three" --callers 150 --service /v1/services/bookings/confirm & jobs+=($!); done
wait "${jobs[@]}"
