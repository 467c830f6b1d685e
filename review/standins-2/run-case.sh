#!/bin/bash
# Runs the case whose folder is given, with a temporary folder for settings and logs. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/sapphireflow-dispatch"
case="$root/target/review-case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$case" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cd "$root" || exit 2
timeout --kill-after=8 105 "$case" "$program" "$scratch" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
