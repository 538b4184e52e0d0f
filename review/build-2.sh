#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and following into target/review-2/.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$root/target/review-2"
for source in "$root"/review/standin-2/main_*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "$root/target/review-2/${name#main_}"
done
