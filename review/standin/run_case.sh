#!/usr/bin/env bash
# Runs the case with the number $1 in a temporary folder, and ends what it
# leaves. Exits as the case does, and with 2 if it could not run.
set -u
number="$1"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
folder="$(mktemp -d)" || exit 2

# Ends the processes that the case started, by their ids. An id is used only
# as long as its process has the settings of this run.
end_processes() {
  local id
  [ -f "$folder/processes" ] || return 0
  while read -r id; do
    if grep -qsF "$folder/" "/proc/$id/environ"; then
      kill -KILL "$id"
    fi
  done < "$folder/processes"
}
trap 'end_processes; rm -rf "$folder"' EXIT

timeout -s KILL 115 "target/review/case-$number" "$folder" \
  "review/$number/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
