#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd) RECORD=$PWD/record.txt
export ROOT RECORD
[ -x "$ROOT/bin/agent" ] && [ -x ../bin/case3 ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec timeout -k 5 115 ../bin/case3
