#!/usr/bin/env bash
# Measures how long an accepted change takes to be in force on every box: 3 keepers and 9 entry boxes, as
# real processes; from the first keeper's log entry of the revision to the last box's. Prints one JSON object.
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
const accepted = new Map(); const inForce = new Map()
for (const line of require('fs').readFileSync('$WORK/all.log', 'utf8').split('\\n')) {
  const match = /hlc=(\\d+)\\.\\d+ .*event=(accepted|configuration) revision=(\\d+)/.exec(line)
  if (match === null) continue
  const [, ms, event, revision] = match
  if (event === 'accepted') accepted.set(revision, Math.min(accepted.get(revision) ?? Infinity, Number(ms)))
  else inForce.set(revision, [...inForce.get(revision) ?? [], Number(ms)])
}
const delays = [...accepted].filter(([revision]) => inForce.get(revision)?.length === $boxes).map(([revision, ms]) => Math.max(...inForce.get(revision)) - ms).sort((a, b) => a - b)
const readPercentile = share => delays[Math.min(delays.length - 1, Math.floor(share * delays.length))]
console.log(JSON.stringify({ boxes: $boxes, revisions: accepted.size, everywhere: delays.length, p50Ms: readPercentile(0.5), p99Ms: readPercentile(0.99), mostMs: delays.at(-1) }))"
