#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/, with the packages of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra review/standin-2/*.cpp -o target/review-2/standin-2 \
    -lboost_json -lpthread
