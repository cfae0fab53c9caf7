#!/usr/bin/env bash
# Machines freeze for 4.5 s, one at a time. Exits with 1 if CONFIG is broken, 0 if it holds, and 2 if
# the case could not run. TROUBLE=0 leaves the freezes out. Takes about 110 s.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/standins/standin ] && [ -x target/release/briarcove ] || {
    echo "build the program of the deploy file and run review/build.sh first" >&2
    exit 2
}
exec target/standins/standin freeze "$folder"
