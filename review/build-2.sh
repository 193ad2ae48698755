#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they are Python files that need the standard library alone, so this only checks
# that they can be compiled. It writes nothing beside them.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B - review/lib2/rig.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
PY
