#!/usr/bin/env bash
# Plays the case with the programs in target/ and review/bin/ and writes record.txt.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
repository=$(cd "$here/../.." && pwd) || exit 2
for program in "$repository/target/loomd" "$repository/review/bin/stand"; do
  if [ ! -x "$program" ]; then
    echo "no $program: run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
  fi
done
exec "$repository/review/bin/stand" config "$repository" "$here/record.txt"
