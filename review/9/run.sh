#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-9
if [ ! -x "$program" ] || [ ! -x target/marigoldladder-relay ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
timeout -k 2 110 "$program" review/9
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
