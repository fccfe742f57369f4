#!/bin/sh
# Runs one script: run.sh CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/wardturn-fleet ] || [ ! -x target/review-cases2 ]; then
	echo "build target/wardturn-fleet (deploy/system.toml) and target/review-cases2 (review/build-2.sh) first" >&2
	exit 2
fi
CASE=$1 RECORD=$2/record.txt FLEET=target/wardturn-fleet target/review-cases2
code=$?
grep RESULT "$2/record.txt" 2>/dev/null
[ $code -le 1 ] || exit 2
exit $code
