#!/usr/bin/env bash
# Benchmarks: prints key=value lines. See docs/DESIGN.md for what they answer.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=$1
shift
source "$root/meta/deployment.sh"
trap stop_deployment EXIT

# Mean output tokens of a request under balsam-load's default lengths.
mean_output_tokens=180

# Copies the bench deployment with a placement and an admission policy.
deployment_with() {
  local target
  target=$(mktemp -d)
  cp "$root"/examples/bench/*.json "$target"
  sed -i "s/\"placement\": \"forecast\"/\"placement\": \"$1\"/" "$target"/entry-*.json
  sed -i "s/\"admission\": \"forecast\"/\"admission\": \"$2\"/" "$target"/sidecar-*.json
  echo "$target"
}

# Runs one load: label placement admission rate seconds seed [options].
run_load() {
  local label=$1 source rate=$4 seconds=$5 seed=$6
  source=$(deployment_with "$2" "$3")
  shift 6
  entry_urls=()
  start_deployment "$source"
  local arguments=() url port workspace
  for url in "${entry_urls[@]}"; do arguments+=(--entry "$url"); done
  for port in $(grep -hA1 '"backend_server"' "$work_folder"/sidecar-*.json |
    grep -oE ':[0-9]+"' | tr -d ':"'); do
    arguments+=(--engine "http://127.0.0.1:$port")
  done
  for workspace in ws-1 ws-2 ws-3 ws-4; do
    arguments+=(--workspace "$workspace:$workspace-demo-key")
  done
  "$build/utilities/balsam-load" "${arguments[@]}" --model m \
    --live-template guest --whole-template dossier --rate "$rate" \
    --seconds "$seconds" --seed "$seed" --label "$label" "$@"
  stop_deployment
  rm -rf "$source"
}

value_of() { grep -oE "(^| )$1=[^ ]+" <<< "$2" | tail -1 | cut -d= -f2; }

bench_policy() {
  local seeds=(1 2 3) loads=(70 90 110 130) seconds=20 output=
  while [ $# -gt 0 ]; do
    case $1 in
      --seed) seeds=("$2"); shift ;;
      --loads) read -ra loads <<< "$2"; shift ;;
      --seconds) seconds=$2; shift ;;
      --output) output=$2; shift ;;
      *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift
  done
  local results line capacity rate load seed
  results=$(mktemp)
  # Four times what the engines can do: they are saturated from the start.
  line=$(run_load capacity least_outstanding immediate 120 10 1 --drain 1)
  echo "$line"
  capacity=$(value_of tokens_per_s "$line")
  echo "capacity_tokens_per_s=$capacity"
  for load in "${loads[@]}"; do
    rate=$(awk "BEGIN {print $capacity * $load / 100 / $mean_output_tokens}")
    for seed in "${seeds[@]}"; do
      run_load "round_robin@$load" round_robin immediate "$rate" "$seconds" "$seed" --drain 10 --json "$results"
      run_load "least_outstanding@$load" least_outstanding immediate "$rate" "$seconds" "$seed" --drain 10 --json "$results"
      run_load "two_choices@$load" two_choices immediate "$rate" "$seconds" "$seed" --drain 10 --json "$results"
      run_load "ours@$load" forecast forecast "$rate" "$seconds" "$seed" --drain 10 --json "$results"
      run_load "oracle@$load" forecast known_lengths "$rate" "$seconds" "$seed" --drain 10 --json "$results" --tell-lengths
    done
  done
  if [ -n "$output" ]; then
    "$build/utilities/balsam-load" --json "$results" --page "$output"
    echo "page=$output"
  fi
  rm -f "$results"
}

case ${1:-} in
  policy) shift; bench_policy "$@" ;;
  relay) shift; "$root/meta/bench_relay.sh" "$build" "$@" ;;
  control) shift; "$root/meta/bench_control.sh" "$build" "$@" ;;
  *) echo "bench: relay, policy or control" >&2; exit 2 ;;
esac
