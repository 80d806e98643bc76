#!/bin/sh
# Plays the case on the built system. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/rig2 ] || exit 2
exec ../../target/review-2/rig2 longlease ../../target/samphired record.txt
