#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases start, into target/. Uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review2 .
