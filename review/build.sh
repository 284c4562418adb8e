#!/bin/bash
# Builds what the scripts of review/ start besides the deployed program: the
# stand-ins are Python modules, compiled here to show that they are complete.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import ast, pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("wanted Python 3.9 or newer")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
P
