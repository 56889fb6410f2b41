#!/usr/bin/env bash
# Fuzzes each decoder that reads bytes from outside for a short time.
set -euo pipefail
cd "$(dirname "$0")/.."
duration=${FUZZTIME:-10s}
while read -r package target; do
  go test -run '^$' -fuzz "^$target\$" -fuzztime "$duration" "./internal/$package"
done <<'TARGETS'
transport/wire FuzzReceive
transport/wire FuzzCallFrame
model/meshconfig FuzzParseFile
model/meshconfig FuzzDecodeBundle
operators/query FuzzParse
requestpath/gateway FuzzCheckFraming
requestpath/gateway/pipeline FuzzPipelinedBytes
TARGETS
