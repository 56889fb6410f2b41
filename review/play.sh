#!/usr/bin/env bash
# Plays one case: play.sh CASE FOLDER. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
here=$(cd "$(dirname "$0")" && pwd)
program=$here/../target/lapisvaned
if [ ! -x "$program" ]; then
  echo "target/lapisvaned is missing: run the build of deploy/system.toml first" >&2
  exit 2
fi
[ -x "$here/bin/standin" ] || bash "$here/build.sh" || exit 2
exec "$here/bin/standin" "$1" "$program" "$2/record.txt"
