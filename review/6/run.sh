#!/bin/bash
# Plays the case with processes of its own, all on loopback addresses. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/fireflyhoist-edge target/review-2/stand; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec target/review-2/stand case lapse review/6 "${TROUBLE:-1}"
