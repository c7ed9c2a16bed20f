#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/review/standin || ! -x target/shallotcleat ]]; then
	echo "run the build command of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review/standin split . review/5/record.txt
