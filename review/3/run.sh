#!/usr/bin/env bash
# Plays the case, and writes what was sent, answered and run to record.txt in this folder. TROUBLE=0 plays it without the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. The build of the deploy file
# and review/build.sh come before.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/ebonyswitch ] || { echo "cannot run: not built"; exit 2; }
# The driver and the gateways are one process group, so that none of them is left if the script is stopped.
set -m
target/review/cases budget "$here" &
driver=$!
trap 'kill -TERM -- "-$driver"; exit 2' INT TERM
wait "$driver"
