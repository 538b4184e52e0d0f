#!/usr/bin/env bash
# Builds the fuzzers with clang and sanitizers, and runs each for a bounded
# time from the committed seeds.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
seconds=${1:-30}
build=$root/build-fuzz
cmake -G Ninja -S "$root" -B "$build" -DCMAKE_CXX_COMPILER=clang++-16 \
  -DBALSAM_FUZZ=ON -DBALSAM_SANITIZE=address,undefined,fuzzer-no-link > /dev/null
cmake --build "$build" --target fuzz_messages fuzz_templates fuzz_settings
for name in messages templates settings; do
  corpus=$(mktemp -d)
  cp "$root"/tests/fuzz/seeds/"$name"/* "$corpus" 2> /dev/null || true
  "$build/tests/fuzz/fuzz_$name" -max_total_time="$seconds" -seed=1 \
    -print_final_stats=1 "$corpus" 2>&1 | grep -E 'stat::number_of_executed|ERROR|Done' |
    sed "s/^/fuzz=$name /"
  rm -rf "$corpus"
done
