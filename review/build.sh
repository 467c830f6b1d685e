#!/usr/bin/env bash
# Builds the cases and the stand-ins that they start, into review/bin/. The program under test is built
# by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++17 -O2 -Wall -Wextra)
g++ "${flags[@]}" -c standin/standin.cc -o bin/standin.o
for source in [1-5]/main.cc; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" bin/standin.o -o "bin/case-$(dirname "$source")" -pthread
done
