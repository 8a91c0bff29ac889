#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, one program a case.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra "$source" -o "build/$(basename "$source" .cpp)" \
        -lboost_json -pthread &
done
for job in $(jobs -p); do wait "$job"; done
