#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; unset or 1, it is there.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wardturn-fleet ] && [ -x target/review-1 ] || { echo "not built" >&2; exit 2; }
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in
0 | 1) ;;
*) echo "TROUBLE is 0 or 1, not '$TROUBLE'" >&2; exit 2 ;;
esac
export TROUBLE
RECORD=review/1/record.txt exec target/review-1
