#!/bin/bash
# Plays the case "freeze" and writes record.txt here. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/driver3 freeze review/14
