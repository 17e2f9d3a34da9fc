#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start besides the relay, in target/review-2/. They need
# the compiler, the C library and nlohmann's JSON, which the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview "$source" -o "target/review-2/case-$number"
done
