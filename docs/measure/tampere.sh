#!/usr/bin/env bash
# Tampere: 12 engines, a store of 4 loads/s with 3 places, half of the requests
# batch work; each policy with and without the batch work.
# Usage: docs/measure/tampere.sh [SEED] [DURATION]
set -euo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
duration=${2:-15m}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/wardturn" ./cmd/wardturn
"$bin/wardturn" trace --profile tampere --seed "$seed" --duration "$duration" > "$bin/t.jsonl"
run() {
  "$bin/wardturn" compare -q --trace "$bin/t.jsonl" --upstreams 12 --store-rate 4 --store-parallel 3 "$@"
}
echo "with batch work, seed $seed"
run --policy builtin:affinity --policy zurich --policy tampere --policy builtin:clairvoyant
echo "interactive work alone"
run --no-batch --policy tampere
