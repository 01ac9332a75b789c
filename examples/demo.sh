#!/usr/bin/env bash
# Starts a small fleet in two regions, runs one gang job of adjacent
# accelerators and one non-idempotent request, prints the timeline, and stops
# everything gracefully.
# Usage: examples/demo.sh BUILD_DIRECTORY
set -euo pipefail
build=$(realpath "${1:-build}")
examples=$(cd "$(dirname "$0")" && pwd)
run=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap cleanup EXIT

# Starts a process in the background: NAME COMMAND...
launch() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_${name//[^a-z0-9]/_}=$!"
}

# Repeats a command until it succeeds, for at most 20 s.
await() {
  local deadline=$((SECONDS + 20))
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $deadline ]; then
      echo "timed out: $*" >&2
      tail -n 5 "$run"/*.log >&2
      exit 1
    fi
    sleep 0.1
  done
}

address_of() { sed -n 's/^listening //p' "$run/$1.log" | head -n 1; }
has_address() { [ -n "$(address_of "$1")" ]; }
ctl() { "$build/pomelokeel" ctl --entry "127.0.0.1:$((base + 1)),127.0.0.1:$((base + 3))" "$@"; }
workers_announced() { ctl --json status | python3 -c 'import json,sys; sys.exit(len(json.load(sys.stdin)["workers"]) < 4)'; }

# Writes the settings of NAME from an example: FILE NAME KEY=VALUE...
settings() {
  local file=$1 name=$2
  shift 2
  python3 - "$examples/settings/$file" "$run/$name.json" "name=$name" "$@" <<'PY'
import json, sys
source, target, *pairs = sys.argv[1:]
values = json.load(open(source))
for pair in pairs:
    key, value = pair.split("=", 1)
    values[key] = value.split(",") if key == "entries" else value
json.dump(values, open(target, "w"), indent=2)
PY
}

# First of 16 free consecutive ports, below the range that the system uses for
# outgoing connections.
base=$(python3 - <<'PY'
import random, socket
while True:
    base = random.randrange(15000, 19900)
    sockets = []
    try:
        for port in range(base, base + 16):
            s = socket.socket()
            sockets.append(s)
            s.bind(("127.0.0.1", port))
        print(base)
        break
    except OSError:
        pass
    finally:
        for s in sockets:
            s.close()
PY
)

echo "== log service stand-in and two entries in two regions"
launch log "$build/tests/standin" log --listen 127.0.0.1:0
await has_address log
settings entry.json entry-1 dataCentre=milano-a region=nord-ovest \
  "httpListen=127.0.0.1:$((base + 1))" "meshListen=127.0.0.1:$((base + 2))" "logService=$(address_of log)"
settings entry.json entry-2 dataCentre=verona-a region=nord-est \
  "httpListen=127.0.0.1:$((base + 3))" "meshListen=127.0.0.1:$((base + 4))" "logService=$(address_of log)"
launch entry-1 "$build/pomelokeel" entry --settings "$run/entry-1.json"
launch entry-2 "$build/pomelokeel" entry --settings "$run/entry-2.json"
await ctl status

echo "== four workers in three data centres, each with its agent"
number=0
for place in milano-a:nord-ovest:rack-1 milano-a:nord-ovest:rack-1 torino-b:nord-ovest:rack-2 verona-a:nord-est:rack-3; do
  number=$((number + 1))
  IFS=: read -r centre region rack <<<"$place"
  launch "worker-$number" "$build/tests/standin" worker --listen 127.0.0.1:0
  await has_address "worker-$number"
  settings agent.json "agent-$number" "dataCentre=$centre" "region=$region" "rack=$rack" \
    "httpListen=127.0.0.1:$((base + 3 + 2 * number))" "meshListen=127.0.0.1:$((base + 4 + 2 * number))" \
    "worker=$(address_of "worker-$number")" "entries=127.0.0.1:$((base + 1)),127.0.0.1:$((base + 3))"
  launch "agent-$number" "$build/pomelokeel" agent --settings "$run/agent-$number.json"
done
await workers_announced

echo "== configuration"
for record in "$examples"/records/*.json; do
  ctl publish "$record"
done

echo "== a gang of two members with four adjacent accelerators each"
ctl submit --wait 20000 "$examples/jobs/gang.json" | tee "$run/gang.out"
echo "== a non-idempotent request"
ctl submit --wait 20000 "$examples/jobs/payment.json" | tee "$run/payment.out"
grep -q '"outcome": "completed"' "$run/gang.out"
grep -q '"outcome": "completed"' "$run/payment.out"

echo "== status"
ctl status
echo "== time line"
ctl timeline

echo "== graceful stop"
for name in agent-1 agent-2 agent-3 agent-4 entry-1 entry-2 log worker-1 worker-2 worker-3 worker-4; do
  variable="pid_${name//-/_}"
  kill -TERM "${!variable}"
  code=0
  wait "${!variable}" || code=$?
  case $name in
  entry-* | agent-*)
    [ $code -eq 0 ] || { echo "$name ended with code $code" >&2; exit 1; } ;;
  esac
done
pids=()
echo "demo passed"
