#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  case_folder=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "target/review-3/case-$case_folder" "$source"
done
