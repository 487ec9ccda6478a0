#!/usr/bin/env bash
# Kills, freezes and restarts keepers, as real processes, under claims and configuration changes; then
# checks in the service's records that no request ran twice. Prints the result; exits with 1 on failure.
set -eu
cd "$(dirname "$0")/.."
. scripts/processes.sh
trap stop_all EXIT
freeze=${1:-30}
port=26000
start_deployment $port 3 2 2 1
entries="http://127.0.0.1:$((port + 1)),http://127.0.0.1:$((port + 2))"
service="http://127.0.0.1:$((port + 190))"
leader () { wrenlane status --json | sed -n 's/.*"leader":"\([^"]*\)","spareKeepers".*/\1/p'; }
revision () { wrenlane status --json | sed -n 's/^{"revision":\([0-9]*\).*/\1/p'; }
change () { printf '[classes.drill-%s]\npriority = 2\nfirstTokenMs = 700\n' "$1" >"$WORK/change.toml"; confirm_intent "$WORK/change.toml"; }

node dist/src/bin/load.js --name claims --url "$entries" --callers 40 --seconds $((freeze + 14)) --service /v1/services/bookings/confirm >"$WORK/claims.json" &
load=$!
sleep 3
first=$(leader)
echo "kill -9 $first"; signal_process KILL "$first"
sleep 3
echo "after the kill: $(change one)"
start_process "$first" keeper "$WORK/$first.toml"
sleep 4
second=$(leader)
echo "freeze $second for $freeze s"; signal_process STOP "$second"
sleep 4
echo "during the freeze: $(change two)"
before=$(revision)
sleep $((freeze - 4))
signal_process CONT "$second"
sleep 3
wait $load
after=$(revision)
echo "revision $before during the freeze, $after after it"
cat "$WORK/claims.json"
curl -s "$service/served" >"$WORK/served.json"
node -e "
const served = JSON.parse(require('fs').readFileSync('$WORK/served.json', 'utf8'))
const runs = new Map()
for (const call of served) runs.set(call.key, (runs.get(call.key) ?? 0) + 1)
const twice = [...runs].filter(([, count]) => count > 1)
console.log('executed calls: ' + served.length + ', keys executed more than once: ' + twice.length)
process.exit(twice.length === 0 && $after >= $before ? 0 : 1)"
grep -h event=violation "$WORK"/*.log && exit 1
echo "no violations in the logs"
