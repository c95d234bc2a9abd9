#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are one Python module without dependencies, so this only checks that it and
# the scripts can be read by the Python of this machine (3.11 or newer, for tomllib).
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit-2/small_site.py kit-2/more/*.py [6-9]/case.py 10/case.py <<'P'
import ast, os, sys, tomllib
for name in sys.argv[1:]:
    if os.path.exists(name):
        ast.parse(open(name).read(), name)
P
