#!/usr/bin/env bash
# Runs HOLLOW hollow daemons in a few processes beside REAL lapisvaned processes
# that carry real calls, and drives them through all phases. Further arguments go
# to the driver. Ends every process it started, also when interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

hollow=${HOLLOW:-2000}
real=${REAL:-20}
per_process=${PER_PROCESS:-500}
output=${OUTPUT:-out/scale-$hollow.json}
base=${BASE_PORT:-21000}

# A run of 19,000 took 19 GiB while starting; half of the machine's memory is the
# bound for runs.
memory_kb=$(awk '/MemTotal/ { print $2 }' /proc/meminfo)
if [ $((hollow * 1024)) -gt $((memory_kb / 2)) ]; then
  echo "event=scale.refused hollow=$hollow cause=\"about 1 MiB each while starting would exceed half of the machine's memory\""
  exit 2
fi

work=$(mktemp -d)
mkdir -p "$(dirname "$output")"
pids=()
cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 1
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

go build -o "$work/bin/" ./cmd/...
bin=$work/bin
# All hollow processes together stay under 10 GiB, less than half of a 24 GiB
# machine; a soft limit, so runs beyond about 8000 are refused below.
export GOMEMLIMIT=$((10240 / ((hollow + per_process - 1) / per_process)))MiB

"$bin/lapislab" platform --address "127.0.0.1:$base" >"$work/platform.log" 2>&1 &
pids+=($!)
sleep 0.5

arguments=(--platform "127.0.0.1:$base" --output "$output")
processes=$(((hollow + per_process - 1) / per_process))
for ((index = 0; index < processes; index++)); do
  first=$((index * per_process))
  count=$((hollow - first < per_process ? hollow - first : per_process))
  control=127.0.0.1:$((base + 1 + index))
  "$bin/lapislab" hollow --platform "127.0.0.1:$base" --control "$control" --first "$first" --count "$count" >"$work/hollow-$index.log" 2>&1 &
  pids+=($!)
  arguments+=(--hollow "$control")
done

zones=(100.1 100.2 100.3 100.4 101.5 101.6 101.7 102.8 102.9 102.10 103.11 103.12 103.13 104.14 104.15 104.16 105.17 105.18 105.19)
regions=(1-zone-1 1-zone-2 1-zone-3 1-zone-4 2-zone-1 2-zone-2 2-zone-3 3-zone-1 3-zone-2 3-zone-3 4-zone-1 4-zone-2 4-zone-3 5-zone-1 5-zone-2 5-zone-3 6-zone-1 6-zone-2 6-zone-3)
for ((index = 0; index < real; index++)); do
  zone=$((index % 19))
  ip=127.${zones[$zone]}.1
  port=$((base + 1000 + index * 5))
  region=region-${regions[$zone]%%-*}
  "$bin/lapislab" backend --address "$ip:$port" --instance "real-$index" --service-time 1ms >"$work/backend-$index.log" 2>&1 &
  pids+=($!)
  cat >"$work/daemon-$index.yaml" <<YAML
node: real-$index
zone: region-${regions[$zone]}
region: $region
peer_address: $ip:$((port + 1))
caller_address: $ip:$((port + 2))
metrics_address: $ip:$((port + 3))
platform:
  addresses: [127.0.0.1:$base]
no_seat: $([ $((index % 2)) = 1 ] && echo true || echo false) # so that leaves and relays are measured too
services: [$(for ((s = 0; s < 30; s++)); do printf 'service-%04d, ' $((index * 30 % 900 + s)); done | sed 's/, $//')]
backends:
  - service: service-0000
    instance: real-$index
    address: $ip:$port
YAML
  "$bin/lapisvaned" --settings "$work/daemon-$index.yaml" >"$work/daemon-$index.log" 2>&1 &
  pids+=($!)
  arguments+=(--real "$ip:$((port + 3))" --caller "$ip:$((port + 2))")
done
sleep 1
status=0
"$bin/lapislab" scale "${arguments[@]}" "$@" || status=$?
if [ "$status" != 0 ]; then tail -n 3 "$work"/hollow-*.log "$work"/daemon-0.log >&2 || true; fi
exit $status
