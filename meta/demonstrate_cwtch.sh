#!/usr/bin/env bash
# Sends a guest's question through one entry and a door release through
# another, and prints what comes back.
set -euo pipefail

first=$1 second=$2

# A UUID of version 7: its first 48 bits are the present in milliseconds.
new_key() {
  local now=$(date +%s%3N)
  printf '%08x-%04x-7%03x-8000-%06x%06x\n' $((now >> 16)) $((now & 0xffff)) \
    $((RANDOM & 0xfff)) $((RANDOM * 512)) $((RANDOM * 512))
}

release() {
  curl -s --max-time 20 -w ' status=%{http_code}\n' \
    "$1/services/locker-api/doors/release" \
    -H 'Authorization: Bearer tywi-lets-demo-key' \
    -H 'Content-Type: application/json' -H "Idempotency-Key: $key" \
    -d '{"locker": 17, "door": "B"}'
}

echo "== A guest's question, streamed =="
curl -sN --max-time 60 "$first/v1/chat/completions" \
  -H 'Authorization: Bearer tywi-lets-demo-key' \
  -H 'Content-Type: application/json' \
  -d '{"model": "croeso-8b", "stream": true, "max_tokens": 40, "messages": [
        {"role": "user", "content": "Which locker holds the key? [[tokens=12]]"}]}'
echo "== A door release, and the same call sent again through another entry =="
# A sidecar runs only keys that were made after it became their home, by more
# than the grace of removed VMs (1 s here) and the clocks' error (0.5 s).
sleep 2.5
key=$(new_key)
release "$first"
release "$second"
