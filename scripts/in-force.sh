#!/usr/bin/env bash
# How long an accepted change takes to be in force on every box: 3 keepers, 9 entry boxes, as real
# processes; from the first keeper's log of the revision to the last box's. Prints one JSON object.
set -eu
cd "$(dirname "$0")/.."
. scripts/processes.sh
trap stop_all EXIT
changes=${1:-40}
boxes=${2:-9}
start_deployment 29000 3 "$boxes" 1 1
for n in $(seq "$changes"); do
  printf '[classes.timed]\npriority = 2\nfirstTokenMs = %d\n' $((700 + n)) >"$WORK/change.toml"
  confirm_intent "$WORK/change.toml" >/dev/null
done
sleep 1
cat "$WORK"/keeper-*.log "$WORK"/entry-*.log >"$WORK/all.log"
node -e "
const accepted = new Map(); const forced = new Map()
for (const line of require('fs').readFileSync('$WORK/all.log', 'utf8').split('\\n')) {
  const match = /hlc=(\\d+)\\.\\d+ .*event=(accepted|configuration) revision=(\\d+)/.exec(line)
  if (match === null) continue
  const [, ms, event, revision] = match
  if (event === 'accepted') accepted.set(revision, Math.min(accepted.get(revision) ?? Infinity, Number(ms)))
  else forced.set(revision, [...forced.get(revision) ?? [], Number(ms)])
}
const times = [...accepted].filter(([revision]) => forced.get(revision)?.length === $boxes).map(([revision, ms]) => Math.max(...forced.get(revision)) - ms).sort((a, b) => a - b)
const read = share => times[Math.min(times.length - 1, Math.floor(share * times.length))]
console.log(JSON.stringify({ boxes: $boxes, revisions: accepted.size, everywhere: times.length, p50Ms: read(0.5), p99Ms: read(0.99), mostMs: times.at(-1) }))"
