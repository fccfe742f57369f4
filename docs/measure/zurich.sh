#!/usr/bin/env bash
# Zurich: 15, 30 and 45 requests/s, exponents 0.9 and 1.1, popularity dealt anew
# half-way, deadline 10 s; a refusal counts as a stall of 10 s.
# Usage: docs/measure/zurich.sh [SEED] [DEADLINE]
set -euo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
deadline=${2:-10s}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/wardturn" ./cmd/wardturn
for exponent in 0.9 1.1; do
  for rate in 15 30 45; do
    echo "rate $rate, exponent $exponent, seed $seed, deadline $deadline"
    "$bin/wardturn" trace --profile zurich --rate "$rate" --exponent "$exponent" --seed "$seed" \
      --shift-at 5m --deadline "$deadline" > "$bin/t.jsonl"
    "$bin/wardturn" compare -q --trace "$bin/t.jsonl" --policy builtin:lru --policy builtin:affinity \
      --policy zurich --policy builtin:default --policy builtin:clairvoyant
  done
done
