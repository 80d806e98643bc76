#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/samphired ] && [ -x target/review-3/rig3 ] || exit 2
exec target/review-3/rig3 firststart "$dir/record.txt"
