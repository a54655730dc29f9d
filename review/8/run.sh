#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/basaltloom ] || exit 2
command -v python3 >/dev/null || exit 2
CASE=$here PYTHONDONTWRITEBYTECODE=1 exec python3 review/rig2/new_at_cold.py
