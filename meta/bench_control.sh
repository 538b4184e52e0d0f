#!/usr/bin/env bash
# What control costs: processor time, memory and bytes of idle entries by their
# number, and of one entry by the sizes of templates and list; how long a
# change takes to be in force everywhere; calls on the platform. Prints
# key=value lines and fitted slopes.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=$1
shift
source "$root/meta/deployment.sh"
source "$root/meta/process_usage.sh"
trap stop_deployment EXIT
key=control-bench-operator-key
window=10

# Writes templates with this many workspaces.
write_templates() {
  local count=$1 file=$2
  {
    echo '{"templates": {"guest": {"class": "live"}, "dossier": {"delivery": "whole"}},'
    echo '"models": {"m": {"service": "llm-pool"}}, "workspaces": {'
    for ((i = 0; i < count; i++)); do
      [ "$i" -gt 0 ] && echo ','
      printf '"ws-%d": {"key_sha256": "%064x", "weight": 1, "tokens_per_second": 100, "templates": ["guest", "dossier"]}' "$i" "$((i + 1))"
    done
    echo '}}'
  } > "$file"
}

# Writes settings for entries and a list with them and idle backend VMs.
write_deployment() {
  local entries=$1 backends=$2 folder=$3
  mapfile -t ports < <("$build/utilities/balsam-standin" ports --count $((entries * 3 + 1)))
  platform_port=${ports[0]}
  {
    echo '{"vms": ['
    for ((i = 0; i < entries; i++)); do
      [ "$i" -gt 0 ] && echo ','
      echo "{\"id\": \"entry-$i\", \"data_center\": \"dc-$((i % 4))\", \"role\": \"entry\", \"address\": \"127.0.0.1\", \"peer_port\": ${ports[i * 3 + 2]}, \"state\": \"live\"}"
    done
    for ((i = 0; i < backends; i++)); do
      echo ", {\"id\": \"llm-pool-$i\", \"data_center\": \"dc-$((i % 4))\", \"role\": \"backend\", \"service\": \"llm-pool\", \"address\": \"127.0.0.1\", \"peer_port\": 1, \"state\": \"live\"}"
    done
    echo ']}'
  } > "$folder/vms.json"
  for ((i = 0; i < entries; i++)); do
    cat > "$folder/entry-$i.json" <<JSON
{"vm": {"id": "entry-$i", "data_center": "dc-$((i % 4))"},
 "callers": {"address": "127.0.0.1", "port": ${ports[i * 3 + 1]}, "threads": 2},
 "peers": {"address": "127.0.0.1", "port": ${ports[i * 3 + 2]}, "key": "control-bench-peer-key"},
 "operators": {"address": "127.0.0.1", "port": ${ports[i * 3 + 3]}, "key": "$key"},
 "platform": {"url": "http://127.0.0.1:$platform_port"}}
JSON
  done
}

status() {
  curl -s -H "Authorization: Bearer $key" \
    "http://127.0.0.1:$(grep -oE '"operators": \{"address": "127.0.0.1", "port": [0-9]+' "$1" | grep -oE '[0-9]+$')/status"
}
field() { grep -oE "\"$2\":[0-9]+" <<< "$1" | cut -d: -f2; }
platform_calls() { field "$(curl -s "http://127.0.0.1:$platform_port/counters")" calls; }

all_at_revision() {
  local file
  for file in "$work_folder"/entry-*.json; do
    [ "$(field "$(status "$file")" template_revision)" = "$1" ] || return 1
  done
}

# Runs idle entries: entries backends workspaces [changes].
measure() {
  local entries=$1 backends=$2 workspaces=$3 file ids=() i
  work_folder=$(mktemp -d)
  write_deployment "$entries" "$backends" "$work_folder"
  write_templates "$workspaces" "$work_folder/templates.json"
  start_process "$work_folder/platform.log" "$build/utilities/balsam-standin" platform \
    --port "$platform_port" --templates "$work_folder/templates.json" --vms "$work_folder/vms.json"
  wait_until 200 curl -sf "http://127.0.0.1:$platform_port/counters"
  for ((i = 0; i < entries; i++)); do
    start_process "$work_folder/entry-$i.log" "$build/services/balsam-entry" \
      --settings "$work_folder/entry-$i.json"
    ids+=($!)
  done
  wait_until 600 all_at_revision 1
  sleep 4
  local start_calls ticks=() bytes=() calls
  start_calls=$(platform_calls)
  calls=$start_calls
  for ((i = 0; i < entries; i++)); do
    ticks+=("$(cpu_ticks "${ids[i]}")")
    bytes+=("$(field "$(status "$work_folder/entry-$i.json")" control_bytes)")
  done
  sleep "$window"
  local rows="" share rate kib
  for ((i = 0; i < entries; i++)); do
    share=$(core_share "${ticks[i]}" "$(cpu_ticks "${ids[i]}")" "$window")
    rate=$(( ($(field "$(status "$work_folder/entry-$i.json")" control_bytes) - bytes[i]) / window ))
    kib=$(peak_kib "${ids[i]}")
    rows+="$share $rate $kib"$'\n'
  done
  calls=$(( $(platform_calls) - calls ))
  local began ended
  began=$(date +%s%3N)
  curl -s -X PUT --data-binary @"$work_folder/templates.json" \
    "http://127.0.0.1:$platform_port/v1/values/templates" > /dev/null
  wait_until 400 all_at_revision 2 || true
  ended=$(date +%s%3N)
  local summary
  summary=$(awk 'NF {n++; c += $1; if ($1 > cm) cm = $1; b += $2; if ($2 > bm) bm = $2; if ($3 > m) m = $3}
    END {printf "core_share_mean=%.5f core_share_max=%.5f bytes_per_s_mean=%.0f bytes_per_s_max=%.0f peak_mib_max=%.1f", c / n, cm, b / n, bm, m / 1024}' <<< "$rows")
  echo "entries=$entries backends=$backends workspaces=$workspaces $summary start_calls=$start_calls calls_per_${window}s=$calls in_force_ms=$((ended - began))"
  last_line="$summary"
  if [ "${4:-0}" -gt 0 ]; then measure_changes "$entries" "$workspaces" "$4"; fi
  stop_deployment
}

# Publishes this many small changes and prints what entries sent and received
# for each, what they do when idle taken off.
measure_changes() {
  local entries=$1 workspaces=$2 changes=$3 i change before=() began passed idle
  idle=$(value bytes_per_s_mean)
  for ((i = 0; i < entries; i++)); do
    before+=("$(field "$(status "$work_folder/entry-$i.json")" control_bytes)")
  done
  began=$(date +%s%3N)
  for ((change = 1; change <= changes; change++)); do
    sed "0,/\"weight\": 1,/s//\"weight\": 1.$change,/" "$work_folder/templates.json" > "$work_folder/changed.json"
    curl -s -X PUT --data-binary @"$work_folder/changed.json" \
      "http://127.0.0.1:$platform_port/v1/values/templates" > /dev/null
    wait_until 400 all_at_revision $((2 + change)) || true
  done
  passed=$(( $(date +%s%3N) - began ))
  for ((i = 0; i < entries; i++)); do
    echo "$(( $(field "$(status "$work_folder/entry-$i.json")" control_bytes) - before[i] ))"
  done | awk -v n="$changes" -v idle="$idle" -v ms="$passed" -v entries="$entries" -v w="$workspaces" \
    '{b = ($1 - idle * ms / 1000) / n; sum += b; if (b > max) max = b}
     END {printf "changes=%d entries=%d workspaces=%d bytes_per_change_mean=%.0f bytes_per_change_max=%.0f\n", n, entries, w, sum / NR, max}'
}
value() { grep -oE "$1=[0-9.]+" <<< "$last_line" | cut -d= -f2; }

by_entries_bytes="" by_entries_max="" by_entries_cpu="" by_workspaces="" by_vms=""
for entries in ${CONTROL_ENTRIES:-2 8 24 48}; do
  measure "$entries" 0 10
  by_entries_bytes+="$entries $(value bytes_per_s_mean)"$'\n'
  by_entries_max+="$entries $(value bytes_per_s_max)"$'\n'
  by_entries_cpu+="$entries $(value core_share_max)"$'\n'
done
for workspaces in ${CONTROL_WORKSPACES:-10 400 1600}; do
  measure 4 0 "$workspaces"
  by_workspaces+="$workspaces $(value peak_mib_max)"$'\n'
done
for entries in ${CONTROL_CHANGES:-8 24}; do
  measure "$entries" 0 1600 10
done
for backends in ${CONTROL_BACKENDS:-0 300 900}; do
  measure 4 "$backends" 10
  by_vms+="$backends $(value peak_mib_max)"$'\n'
done
echo "fit=bytes_per_s_mean_by_entries $(printf %s "$by_entries_bytes" | fit_line)"
echo "fit=bytes_per_s_max_by_entries $(printf %s "$by_entries_max" | fit_line)"
echo "fit=core_share_max_by_entries $(printf %s "$by_entries_cpu" | fit_line)"
echo "fit=peak_mib_by_workspaces $(printf %s "$by_workspaces" | fit_line)"
echo "fit=peak_mib_by_backend_vms $(printf %s "$by_vms" | fit_line)"
