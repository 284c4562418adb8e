#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the node
# itself, which the build of the deploy file makes. Their stand-ins are one
# Python file, standin3/stand.py, which is only checked here.
set -e
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast
import sys
if sys.version_info < (3, 8):
    sys.exit("python 3.8 or later is needed")
for f in ("review/standin3/stand.py",):
    ast.parse(open(f).read(), f)
P
echo "stand-ins: ready"
