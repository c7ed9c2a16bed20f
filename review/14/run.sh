#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin-3 ] && [ -x target/shallotcleat ] || exit 2
exec target/standin-3 takeup review/14/record.txt
