#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides the system itself: their stand-ins use
# only Python's standard library, so it suffices that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for name in ["stand_3.py", *glob.glob("1[1-5]/case.py")]:
    ast.parse(open(name).read(), name)
P
