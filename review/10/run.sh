#!/usr/bin/env bash
# Plays the case wave: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
for program in ../bin/standin3 ../../target/turmericmoor; do
	[ -x "$program" ] || { echo "$program is missing: build first" && exit 2; }
done
exec ../bin/standin3 wave record.txt ../../target/turmericmoor
