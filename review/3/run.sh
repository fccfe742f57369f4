#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wardturn-fleet ] && [ -x target/review-3 ] || { echo "not built" >&2; exit 2; }
RECORD=review/3/record.txt exec target/review-3
