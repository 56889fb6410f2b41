#!/usr/bin/env bash
# Fails if a function is reachable from no program and no test, or if a function outside internal/lab
# is reachable only from tests. The variable allowed lists exceptions: helpers that the tests of
# several packages share.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
allowed='^(internal/shared/boottime/.*: Use|internal/model/meshconfig/.*: DigestOf|internal/daemon/daemon.go: Daemon.(Info|Quarantined))$'
unreached=$("$go" tool deadcode -test ./...)
[ -z "$unreached" ] || { echo "nothing reaches:"; echo "$unreached"; exit 1; }
tests_only=$("$go" tool deadcode ./... | sed -E 's/:[0-9]+:[0-9]+: unreachable func: /: /' | grep -v '^internal/lab/' | grep -vE "$allowed" || true)
[ -z "$tests_only" ] || { echo "no program reaches:"; echo "$tests_only"; exit 1; }
