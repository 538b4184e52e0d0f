#!/usr/bin/env bash
# Builds the cases and their stand-ins into target/review/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cc; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I . \
    -o "target/review/case-$number" "$source"
done
