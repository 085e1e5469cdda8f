#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/no_tenants
if [ ! -x "$program" ]; then
    echo "cannot run: review/build-2.sh has not run" >&2
    exit 2
fi
exec "$program" "$here" "$root"
