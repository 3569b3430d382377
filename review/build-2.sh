#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain Python without dependencies; this checks that they load.
cd "$(dirname "$0")" || exit 1
python3 - world/*.py [0-9]*/case.py <<'PY'
import ast, pathlib, sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
PY
