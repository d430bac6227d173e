#!/usr/bin/env bash
# Builds the programs of cases 6 to 10 with their doubles into review/build-2/. Needs the compiler
# and the Boost packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build-2
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
for source in review/standins-2/*.cpp; do
    object=review/build-2/$(basename "$source" .cpp).o
    "${compile[@]}" -c "$source" -o "$object"
    objects+=("$object")
done
for source in review/*/case-2.cpp; do
    number=$(basename "$(dirname "$source")")
    "${compile[@]}" "$source" "${objects[@]}" -lboost_json -o "review/build-2/case-$number"
done
