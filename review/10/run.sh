#!/bin/sh
# Plays the case on loopback addresses. TROUBLE=0 plays it without the disruption. Exits with 1 if the
# rule was broken, with 0 if it held and with 2 if the case could not run. target/egretdrum is built by
# the deploy file, the rest by review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/egretdrum ] && [ -x target/review-2/driver2 ] && [ -x target/review-2/egretdrum ] || exit 2
exec target/review-2/driver2 -case pending -trouble "${TROUBLE:-1}" -record "$here/record.txt"
