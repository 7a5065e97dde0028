#!/usr/bin/env bash
# Plays the case; review/build-2.sh builds the stand-ins, and the build of the deploy file the product. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/magnoliaferry && test -x target/review-2/stand-2 || exit 2
exec target/review-2/stand-2 lost-owner review/10/record.txt
