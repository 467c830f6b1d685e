#!/bin/bash
# Builds the stand-ins of the review's second set of cases, after the build of the deploy file.
# Needs a C++17 compiler and the header-only package nlohmann-json3-dev, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" -o "target/review-case-$number"
done
