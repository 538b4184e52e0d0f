# Runs a case: run_case NAME FOLDER. Ends what the case leaves running.
run_case() {
  local root program folder tmp status
  folder=$2
  root=$(cd "$folder/../.." && pwd)
  program=$root/target/review-2/$1
  [ -x "$program" ] && [ -x "$root/target/platform/balsam-gateway" ] || return 2
  tmp=$(mktemp -d)
  status=0
  timeout -k 1 115 "$program" "$root" "$tmp" "$folder/record.txt" || status=$?
  if [ -f "$tmp/pids" ]; then
    while read -r pid; do
      [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = \
        "$root/target/platform/balsam-gateway" ] && kill -9 "$pid"
    done < "$tmp/pids"
  fi
  if [ -f "$tmp/engine-pids" ]; then
    while read -r pid; do
      [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$program" ] &&
        kill -9 "$pid"
    done < "$tmp/engine-pids"
  fi
  [ -n "${KEEP_LOGS:-}" ] && cp "$tmp"/*.log "$KEEP_LOGS"/
  rm -rf "$tmp"
  case $status in 0 | 1) return "$status" ;; *) return 2 ;; esac
}
