#!/usr/bin/env bash
# Builds what the cases 11 to 15 start besides the gateway of the deploy file: the project's
# stand-in of the store, and the programs of the cases. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF >/dev/null
cmake --build target -j6 --target platform-standin
mkdir -p target/review-3
for source in review/1[1-5]/case-3.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I review/standins-3 "$source" review/standins-3/harness.cpp review/standins-3/keptload.cpp \
        -o "target/review-3/case-$number" -lboost_json -pthread
done
