#!/bin/sh
# run.sh FOLDER SCRIPT: runs a script of this folder; its record goes to FOLDER.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$1
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/basaltloom ] || exit 2
command -v python3 >/dev/null || exit 2
CASE=$case_folder PYTHONDONTWRITEBYTECODE=1 python3 "review/rig2/$2.py" &
script=$!
trap 'kill "$script"; wait "$script"; exit 2' TERM INT HUP
wait "$script"
# Python itself ends with 1 where it fails: a broken rule is told by 10.
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
