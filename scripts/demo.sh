#!/usr/bin/env bash
# The demo: runs stand-ins, three entries and both of Arriaga's services as separate processes on this machine. Requests of
# both services are sent to addresses that the entries hand out, while one entry is replaced. Prints the bench's verdict at
# the end.
set -euo pipefail
cd "$(dirname "$0")/.."
requests=${DEMO_REQUESTS:-600}
rate=${DEMO_RATE:-60}
runners=${DEMO_RUNNERS:-16}
ledgers=3
centres=(churubusco vallejo santafe)
dir=$(mktemp -d)
pids=()

# stop_all stops the processes that this script started, and no others. The platform is stopped last, because nodes report
# to it that they are leaving.
stop_all() {
  for pid in "${pids[@]:1}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:1}"; do wait "$pid" 2>/dev/null || true; done
  kill "${pids[0]}" 2>/dev/null || true
  wait "${pids[0]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 143' TERM INT

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  started=$!
}

entry_settings() { # entry_settings NUMBER
  cat >"$dir/entry-$1.yaml" <<EOF
name: entry-$1
data_centre: ${centres[$((($1 - 1) % 3))]}
http: {address: "127.0.0.1:$((21000 + $1))"}
control: {address: "127.0.0.1:$((21100 + $1))"}
digests: {address: "127.0.0.1:$((21200 + $1))", seeds: ["127.0.0.1:21201", "127.0.0.1:21202", "127.0.0.1:21203"]}
platform: 127.0.0.1:21900
data_centres: {churubusco: 500us, vallejo: 500us, santafe: 500us}
EOF
}

slot_settings() { # slot_settings SERVICE KIND BASE NUMBER
  cat >"$dir/$1-$4.yaml" <<EOF
name: $1-$4
data_centre: ${centres[$(($4 % 3))]}
service: $1
http: {address: "127.0.0.1:$(($3 + $4))"}
control: {address: "127.0.0.1:$(($3 + 100 + $4))"}
upstream: {kind: $2, address: "127.0.0.1:$(($3 + 300 + $4))", batch: 8}
digests: {address: "127.0.0.1:$(($3 + 200 + $4))", seeds: ["127.0.0.1:21201", "127.0.0.1:21202", "127.0.0.1:21203"]}
platform: 127.0.0.1:21900
EOF
}

start_entry() { # start_entry NUMBER
  entry_settings "$1"
  start "entry-$1" bin/cardamomyoke-entry run --settings "$dir/entry-$1.yaml"
}

start_slot() { # start_slot SERVICE KIND BASE NUMBER
  slot_settings "$@"
  start "$1-$4" bin/cardamomyoke-slot run --settings "$dir/$1-$4.yaml"
}

start platform bin/cardamomyoke-standin platform --listen 127.0.0.1:21900
sleep 0.3
if ! kill -0 "${pids[0]}" 2>/dev/null; then
  echo "demo: port 21900 is in use; is another demo running on this machine?" >&2
  exit 1
fi
ledger_flags=()
for i in $(seq "$runners"); do
  start "engine-$i" bin/cardamomyoke-standin engine --listen "127.0.0.1:$((22300 + i))" --batch 8
  start_slot desk-model model 22000 "$i"
done
for i in $(seq "$ledgers"); do
  start "ledger-$i" bin/cardamomyoke-standin plain --listen "127.0.0.1:$((23300 + i))"
  start_slot ledger-bridge plain 23000 "$i"
  ledger_flags+=(--ledger "127.0.0.1:$((23300 + i))")
done
for i in 1 2 3; do
  start_entry "$i"
  [ "$i" != 2 ] || second=$started
done

wait_ready() { # wait_ready ADDRESS
  for _ in $(seq 100); do
    curl -fs "http://$1/healthz" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "$1 did not become ready" >&2
  exit 1
}
for _ in $(seq 100); do # the entries respond to RPC once they have joined
  bin/cardamomyokectl --entry 127.0.0.1:21101 apply -f examples/arriaga/configuration.json --operator demo --reason "first configuration" >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
tail -1 "$dir/apply.out"
for i in 1 2 3; do wait_ready "127.0.0.1:$((21000 + i))"; done
sleep 1.5 # by then the entries have received the digests of all slots

echo "demo: $requests requests at $rate per second; entry-2 is replaced by entry-4 during the run"
bin/cardamomyoke-bench demo --entry 127.0.0.1:21001 --entry 127.0.0.1:21002 --entry 127.0.0.1:21003 \
  "${ledger_flags[@]}" --requests "$requests" --rate "$rate" >"$dir/demo.out" 2>&1 &
demo=$!
sleep 2
start_entry 4
wait_ready 127.0.0.1:21004
kill -TERM "$second"
status=0
wait "$demo" || status=$?
cat "$dir/demo.out"
if [ -n "${DEMO_KEEP_LOGS:-}" ]; then cp "$dir"/*.log "$DEMO_KEEP_LOGS"/; fi
exit "$status"
