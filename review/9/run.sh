#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$here/../rig2/run.sh" ] || exit 2
exec "$here/../rig2/run.sh" "$here" forgotten_outage
