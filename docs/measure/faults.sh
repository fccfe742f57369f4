#!/usr/bin/env bash
# Zurich at 15 requests/s while something fails, each fault in a run of its own.
# Usage: docs/measure/faults.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/wardturn" ./cmd/wardturn
"$bin/wardturn" trace --profile zurich --rate 15 --seed "$seed" --deadline 10s > "$bin/t.jsonl"
for fault in none store-slow@200s+60s*3 store-down@200s+60s load-fail@200s+60s*0.5 engine-restart@200s*0.34 engine-restart@200s*1; do
  echo "$fault"
  if [ "$fault" = none ]; then args=(); else args=(--fault "$fault"); fi
  "$bin/wardturn" compare -q --trace "$bin/t.jsonl" --policy builtin:affinity --policy zurich "${args[@]}"
done
for share in static adaptive allocator two-allocators; do
  echo "store shared by $share"
  "$bin/wardturn" compare -q --trace "$bin/t.jsonl" --policy zurich --store-share "$share"
done
