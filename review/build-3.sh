#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3.
# The nodes themselves are built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in broken_connection cancelled_job heavy_job same_id; do
  c++ -std=c++17 -O1 -Wall -Wextra -o "target/review-3/$program" \
    "review/standins-3/$program.cc" review/standins-3/fleet.cc review/standins-3/http.cc -pthread
done
