# Functions that start the programs as processes in a temporary folder; to be sourced.
# start_deployment PORT KEEPERS ENTRIES ENGINES_PER_STANDIN STANDINS [BASE_MS [BATCH]]
# The log of each process is in $WORK/NAME.log, its process id in $WORK/NAME.pid.

bin=${bin:-dist/src/bin}
WORK=$(mktemp -d)

start_process () { # NAME PROGRAM SETTINGS
  node ${NODE_FLAGS:-} "$bin/$2.js" "$3" >>"$WORK/$1.log" 2>&1 &
  echo $! >"$WORK/$1.pid"
}

wait_ready () { # NAME [TIMES]
  for _ in $(seq 300); do
    [ "$(grep -c event=ready "$WORK/$1.log" 2>/dev/null)" -ge "${2:-1}" ] && return 0
    sleep 0.1
  done
  echo "$1 did not become ready" >&2
  tail -5 "$WORK/$1.log" >&2
  return 1
}

signal_process () { # SIGNAL NAME
  kill "-$1" "$(cat "$WORK/$2.pid")" 2>/dev/null
}

stop_all () {
  for file in "$WORK"/*.pid; do kill -9 "$(cat "$file")" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}

keeper_list () { # PORT COUNT
  local i
  for i in $(seq "$2"); do printf '{ id = "keeper-%d", host = "127.0.0.1", port = %d }, ' "$i" $(($1 + 10 + i)); done
}

write_keeper () { # PORT NUMBER COUNT
  cat >"$WORK/keeper-$2.toml" <<TOML
id = "keeper-$2"
zone = "zone-$(($2 % ZONES))"
control = { host = "127.0.0.1", port = $(($1 + 10 + $2)) }
keepers = [$(keeper_list "$1" "$3")]
secretFile = "$WORK/secret"
data = "$WORK/keeper-$2"
TOML
}

write_entry () { # PORT NUMBER KEEPERS
  cat >"$WORK/entry-$2.toml" <<TOML
id = "entry-$2"
zone = "zone-$(($2 % ZONES))"
listen = { host = "127.0.0.1", port = $(($1 + $2)) }
control = { host = "127.0.0.1", port = $(($1 + 40 + $2)) }
members = [{ host = "127.0.0.1", port = $(($1 + 41)) }, { host = "127.0.0.1", port = $(($1 + 42)) }]
keepers = [$(keeper_list "$1" "$3")]
secretFile = "$WORK/secret"
balancerLagMs = 1000
TOML
}

write_standin () { # PORT NUMBER ENGINES BASE_MS BATCH
  local i
  {
    for i in $(seq "$3"); do
      printf '[[engines]]\nid = "engine-%d-%d"\nport = %d\nmodels = ["steppe-small"]\nbatch = %d\nbaseMs = %s\nstreamMs = 0\nprefillMs = 1\nkvTokens = 10000000\n' \
        "$2" "$i" $(($1 + 100 * $2 + i)) "$5" "$4"
    done
    printf '[[services]]\nid = "bookings-%d"\nport = %d\ndelayMs = 1\n' "$2" $(($1 + 100 * $2 + 90))
  } >"$WORK/standin-$2.toml"
}

write_intent () { # PORT STANDINS ENGINES BATCH
  local s i
  {
    sed '/^\[pools/,$d' config/local.toml
    printf '[pools.steppe]\nmodels = ["steppe-small"]\nplaces = %d\nfloorPlaces = 1\nprefillMs = 1\n' $(($4 - 1))
    for s in $(seq "$2"); do
      for i in $(seq "$3"); do
        printf '[engines.engine-%d-%d]\npool = "steppe"\nzone = "zone-%d"\nhost = "127.0.0.1"\nport = %d\n' "$s" "$i" $((s % ZONES)) $(($1 + 100 * s + i))
      done
    done
    printf '[services.bookings]\nendpoints = [{ host = "127.0.0.1", port = %d, zone = "zone-0" }]\n' $(($1 + 190))
  } >"$WORK/intent.toml"
}

write_operator () { # PORT KEEPERS
  printf 'keepers = [%s]\nsecretFile = "%s/secret"\n' "$(keeper_list "$1" "$2")" "$WORK" >"$WORK/wrenlane.toml"
}

wrenlane () { node "$bin/wrenlane.js" "$@" --settings "$WORK/wrenlane.toml"; }

confirm_intent () { # FILE
  local plan
  plan=$(wrenlane plan -f "$1" --json | sed -n 's/.*"plan":\([0-9]*\).*/\1/p')
  wrenlane confirm "$plan"
}

start_deployment () {
  local port=$1 keepers=$2 entries=$3 engines=$4 standins=$5 base=${6:-8} batch=${7:-9} i
  ZONES=${ZONES:-1}
  echo 'a secret for measurements' >"$WORK/secret"
  write_operator "$port" "$keepers"
  write_intent "$port" "$standins" "$engines" "$batch"
  for i in $(seq "$standins"); do write_standin "$port" "$i" "$engines" "$base" "$batch"; start_process "standin-$i" standin "$WORK/standin-$i.toml"; done
  for i in $(seq "$keepers"); do write_keeper "$port" "$i" "$keepers"; start_process "keeper-$i" keeper "$WORK/keeper-$i.toml"; done
  for i in $(seq "$entries"); do write_entry "$port" "$i" "$keepers"; start_process "entry-$i" entry "$WORK/entry-$i.toml"; done
  for i in $(seq "$entries"); do wait_ready "entry-$i" || return 1; done
  confirm_intent "$WORK/intent.toml" >/dev/null || return 1
  for i in $(seq "$entries"); do
    for _ in $(seq 100); do curl -sf "http://127.0.0.1:$((port + i))/readyz" >/dev/null && break; sleep 0.1; done
  done
}
