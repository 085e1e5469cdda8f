#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/restart_drain
[ -x "$program" ] || { echo "$program is missing, run review/build.sh" >&2; exit 2; }
"$program" 5
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
