# Starts and stops a deployment of the examples on free loopback ports. Sourced.

work_folder=
entry_urls=()
process_ids=()

# Starts a program with its output in a log, and remembers its id.
start_process() {
  local log=$1
  shift
  "$@" > "$log" 2>&1 &
  process_ids+=($!)
}

# Copies the deployment's files, with each port replaced by a free one.
copy_with_free_ports() {
  local source=$1 target=$2 old ports script
  old=$(grep -ohE '\b7[0-9]{3}\b' "$source"/*.json | sort -u)
  mapfile -t ports < <("$build/utilities/balsam-standin" ports \
    --count "$(wc -w <<< "$old")")
  script=
  local index=0 port
  for port in $old; do
    script+="s/\\b$port\\b/@${ports[index]}/g;"
    index=$((index + 1))
  done
  cp "$source"/*.json "$target"
  sed -i -E "$script s/@([0-9]+)/\\1/g" "$target"/*.json
}

port_in() {
  grep -A3 "\"$2\"" "$1" | grep -oE '"port": [0-9]+' | grep -oE '[0-9]+'
}

wait_until() {
  local tries=$1
  shift
  for ((i = 0; i < tries; i++)); do
    "$@" > /dev/null 2>&1 && return 0
    sleep 0.05
  done
  return 1
}

start_backend() {
  local file=$1 kind port memory
  kind=$(grep -oE '"kind": "[a-z]+"' "$file" | cut -d'"' -f4)
  port=$(grep -A1 '"backend_server"' "$file" | grep -oE ':[0-9]+"' | tr -d ':"')
  if [ "$kind" = engine ]; then
    memory=$(grep -oE '"capacity_tokens": [0-9]+' "$file" | grep -oE '[0-9]+')
    start_process "$work_folder/backend-$port.log" \
      "$build/utilities/balsam-standin" engine --port "$port" \
      --memory-tokens "$memory" --seed "$port" ${engine_options:-}
  else
    start_process "$work_folder/backend-$port.log" \
      "$build/utilities/balsam-standin" service --port "$port"
  fi
}

start_deployment() {
  local source=$1 file platform_port
  work_folder=$(mktemp -d)
  copy_with_free_ports "$source" "$work_folder"
  platform_port=$(grep -hA1 '"platform"' "$work_folder"/entry-*.json |
    grep -oE ':[0-9]+"' | head -1 | tr -d ':"')
  start_process "$work_folder/platform.log" \
    "$build/utilities/balsam-standin" platform --port "$platform_port" \
    --templates "$work_folder/templates.json" --vms "$work_folder/vms.json"
  for file in "$work_folder"/sidecar-*.json; do
    start_backend "$file"
  done
  wait_until 200 curl -sf "http://127.0.0.1:$platform_port/counters"
  for file in "$work_folder"/sidecar-*.json; do
    start_process "${file%.json}.log" "$build/services/balsam-sidecar" --settings "$file"
  done
  for file in "$work_folder"/entry-*.json; do
    start_process "${file%.json}.log" "$build/services/balsam-entry" --settings "$file"
    entry_urls+=("http://127.0.0.1:$(port_in "$file" callers)")
  done
  local url
  for url in "${entry_urls[@]}"; do
    wait_until 400 curl -s -o /dev/null "$url/v1/models" ||
      { echo "entry at $url did not come up; see $work_folder" >&2; return 1; }
  done
}

stop_deployment() {
  local id
  for id in "${process_ids[@]}"; do kill -TERM "$id" 2> /dev/null || true; done
  for ((i = 0; i < 60; i++)); do
    kill -0 "${process_ids[@]}" 2> /dev/null || break
    sleep 0.05
  done
  for id in "${process_ids[@]}"; do kill -KILL "$id" 2> /dev/null || true; done
  wait 2> /dev/null || true
  process_ids=()
  if [ -n "$work_folder" ]; then rm -rf "$work_folder"; fi
}
