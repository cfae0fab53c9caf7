#!/bin/bash
# A request that crashes backends comes again after each rolling restart.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs target/release/briarcove and what review/build-2.sh builds.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/briarcove target/review-2/standin; do
    [ -x "$program" ] || { echo "there is no $program"; exit 2; }
done
timeout -k 2 117 target/review-2/standin crash review/10/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
