#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
CASE_FOLDER=$PWD
ROOT=$(cd ../.. && pwd)
export CASE_FOLDER ROOT
rm -f record.txt
[ -x "$ROOT/target/review-2/case-10" ] || exit 2
exec "$ROOT/target/review-2/case-10"
