#!/usr/bin/env bash
# Checks the model of the order protocol: the whole model must hold, and each variant without a safeguard must violate
# an assertion. The whole model is searched with one lost message and with one crash separately; both together take
# minutes:
#   model/check.sh both
set -euo pipefail
cd "$(dirname "$0")"

# explore NAME FLAGS... searches the state space of the model, compiled with the flags; results are in build/NAME.
explore() {
	local name=$1
	shift
	rm -rf "build/$name"
	mkdir -p "build/$name"
	(
		cd "build/$name"
		spin -a "$@" ../../order.pml >spin.log
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=8000 -o pan pan.c
		./pan -m200000 >pan.log 2>&1 || true
	)
}

errors() { grep -o 'errors: [0-9]*' "build/$1/pan.log" || echo "no verdict"; }
states() { grep -m1 'states, stored' "build/$1/pan.log" | awk '{print $1}'; }
cut_short() { grep -q 'max search depth too small\|out of memory\|Search not completed' "build/$1/pan.log"; }

failed=0

# holds LOSSES CRASHES checks the whole model with these numbers of lost messages and crashes.
holds() {
	local name="whole-$1-$2"
	explore "$name" "-DLOSSES=$1" "-DCRASHES=$2"
	if [ "$(errors "$name")" != "errors: 0" ] || cut_short "$name"; then
		echo "FAILED: the whole protocol with $1 losses and $2 crashes: $(errors "$name")"
		failed=1
		return
	fi
	echo "the whole protocol holds with $1 losses and $2 crashes: $(states "$name") states"
}

if [ "${1:-}" = both ]; then
	holds 1 1
	exit "$failed"
fi
holds 1 0
holds 0 1
for guard in NO_VOID NO_INC NO_INTENT NO_CAS NO_REREAD EARLY_DROP; do
	explore "$guard" "-D$guard" -DLOSSES=1 -DCRASHES=1
	if [ "$(errors "$guard")" = "errors: 1" ]; then
		echo "without the guard $guard the fault is found: $(grep -m1 -o 'assertion violated.*' "build/$guard/pan.log")"
	else
		echo "FAILED: without the guard $guard no fault is found"
		failed=1
	fi
done
exit "$failed"
