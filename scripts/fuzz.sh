#!/usr/bin/env bash
# Fuzzes each decoder of external input for FUZZTIME, 10 s by default.
set -euo pipefail
cd "$(dirname "$0")/.."
duration=${FUZZTIME:-10s}
while read -r package target; do
  go test -run '^$' -fuzz "^$target\$" -fuzztime "$duration" "./$package"
done <<'TARGETS'
internal/transport/wire FuzzReceive
internal/transport/wire FuzzCallFrame
internal/model/meshconfig FuzzParseFile
internal/model/meshconfig FuzzDecodeBundle
internal/operators/query FuzzParse
internal/requestpath/origin FuzzResponseHead
internal/requestpath/gateway FuzzCheckFraming
internal/requestpath/gateway/pipeline FuzzPipelinedBytes
platform FuzzHeartbeat
platform FuzzObject
platform FuzzAccounts
TARGETS
