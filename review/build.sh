#!/usr/bin/env bash
# Builds the program of each case, with its stand-ins, into review/build/. Needs the compiler and
# the Boost packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)
"${compile[@]}" -c review/standins/standins.cpp -o review/build/standins.o
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    "${compile[@]}" "$source" review/build/standins.o -lboost_json -o "review/build/case-$number"
done
