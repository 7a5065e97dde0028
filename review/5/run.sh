#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/magnoliaferry ] || [ ! -x target/review/stand ]; then
	echo "could not run: build target/magnoliaferry and run review/build.sh first"
	exit 2
fi
exec target/review/stand --case stale-upkeep --folder review/5
