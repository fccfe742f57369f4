#!/usr/bin/env bash
# Goodput against offered load, Zurich with exponent 1.1 and a deadline of 10 s, at
# half to four times 30 requests/s, where the store saturates.
# Usage: docs/measure/goodput.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/wardturn" ./cmd/wardturn
for rate in 15 30 45 60 90 120; do
  echo "offered $rate/s"
  "$bin/wardturn" trace --profile zurich --rate "$rate" --exponent 1.1 --seed "$seed" --duration 5m --deadline 10s > "$bin/t.jsonl"
  "$bin/wardturn" compare -q --trace "$bin/t.jsonl" --policy builtin:affinity --policy zurich
done
