#!/usr/bin/env bash
# Runs a whole system as separate processes on loopback: a platform stand-in,
# three back ends, three daemons, operators and callers. Checks every step; the
# last line is event=demo.finished result=ok if all checks passed.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
fail() {
  echo "event=demo.finished result=failed step=\"$1\""
  tail -n 20 "$work"/*.log >&2 || true
  exit 1
}
trap cleanup EXIT
started=$(date +%s)

echo "event=demo.step name=build"
go build -o "$work/bin/" ./cmd/...
export PATH="$work/bin:$PATH" LAPISVANE_TOKEN=demo-token

echo "event=demo.step name=start"
lapislab token --name demo --group '*' --token "$LAPISVANE_TOKEN" >"$work/operators.json"
lapislab platform --address 127.0.0.1:17400 --operators "$work/operators.json" \
  --machines examples/machines.json >"$work/platform.log" 2>&1 &
pids+=($!)
for index in 1 2 3; do
  lapislab backend --address "127.0.0.1:1744$index" --instance "ride-desk-$index" >"$work/backend-$index.log" 2>&1 &
  pids+=($!)
  lapisvaned --settings "examples/daemon-$index.yaml" >"$work/daemon-$index.log" 2>&1 &
  pids+=($!)
done
control() { lapisctl --address 127.0.0.1:17421 "$@"; }

ready=no
for _ in $(seq 1 100); do
  if [ "$(control --output json show proxies 2>/dev/null | grep -c '"machine-')" = 3 ]; then ready=yes; break; fi
  sleep 0.2
done
[ "$ready" = yes ] || fail "three daemons report"

echo "event=demo.step name=propose"
control propose examples/proposal.yaml | tee "$work/proposed"
proposal=$(awk 'NR == 2 { print $1 }' "$work/proposed")
control accept "$proposal" || fail "accept"
control wait in-force 1 for 20s || fail "in force on every daemon"
control show versions
control show routes where group = swancycle
for _ in $(seq 1 50); do
  [ "$(control --output json show backends where state = ready | grep -c '"ride-desk-')" = 3 ] && break
  sleep 0.2
done
control show backends where state = ready

echo "event=demo.step name=calls"
lapislab calls --target 127.0.0.1:17411 --path /docks/7 --duration 2s --rate 300 --all-done || fail "calls answered"
lapislab calls --target 127.0.0.1:17412 --path /unlock/9 --method POST --duration 1s --rate 100 --all-done --name unlock || fail "unlocks answered"

echo "event=demo.step name=refuse"
if control propose examples/proposal-bad.yaml 2>"$work/refused"; then fail "a bad proposal is refused"; fi
cat "$work/refused"
grep -q '^2002 ' "$work/refused" && grep -q '^2003 ' "$work/refused" && grep -q '^2004 ' "$work/refused" || fail "every fault is listed"

echo "event=demo.step name=drain"
lapislab calls --target 127.0.0.1:17413 --path /docks/1 --duration 4s --rate 200 --all-done --name during >"$work/during.log" 2>&1 &
during=$!
sleep 1
control drain ride-desk/ride-desk-2 || fail "drain"
wait "$during" || { cat "$work/during.log"; fail "no call fails during a drain"; }
cat "$work/during.log"
lapislab calls --target 127.0.0.1:17412 --path /docks/1 --duration 1s --rate 200 --all-done --name after | tee "$work/after.log" || fail "calls after the drain"
grep -q 'instances=2 ' "$work/after.log" || fail "the drained back end gets no new work"
control diff 1 2

echo "event=demo.finished result=ok seconds=$(($(date +%s) - started))"
