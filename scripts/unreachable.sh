#!/usr/bin/env bash
# Fails when there is a function that no program and no test reaches, or one outside
# internal/lab that only tests reach. Such helpers of several packages' tests are listed here.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
allowed='^(internal/shared/boottime/.*: Use|internal/model/meshconfig/.*: DigestOf|internal/daemon/daemon.go: Daemon.(Info|Quarantined))$'
unreached=$("$go" tool deadcode -test ./...)
[ -z "$unreached" ] || { echo "nothing reaches:"; echo "$unreached"; exit 1; }
tests_only=$("$go" tool deadcode ./... | sed -E 's/:[0-9]+:[0-9]+: unreachable func: /: /' | grep -v '^internal/lab/' | grep -vE "$allowed" || true)
[ -z "$tests_only" ] || { echo "no program reaches:"; echo "$tests_only"; exit 1; }
