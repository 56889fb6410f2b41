#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standin .
