#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
if [ ! -x "$root/target/lapisvaned" ] || [ ! -x "$root/target/review2" ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec "$root/target/review2" gone "$root" record.txt
