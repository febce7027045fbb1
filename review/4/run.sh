#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review/rig ] || exit 2
exec target/review/rig drain "$PWD" "$PWD/review/4/record.txt"
