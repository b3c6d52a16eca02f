#!/bin/bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT RECORD="$PWD/record.txt"
[ -x ../bin/case-10 ] && [ -x "$ROOT/bin/agent" ] || { echo "not built"; exit 2; }
exec ../bin/case-10
