#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: Python, its standard library only. No packages, no network.
set -eu
cd "$(dirname "$0")/.."
python3 - review/rig2/*.py <<'END'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as text:
        compile(text.read(), name, "exec")
END
