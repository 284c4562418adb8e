#!/bin/sh
# Prepares the stand-ins that the scripts of review/6 to review/10 start, after
# the build of the deploy file. They are written in Python and need only its
# standard library; the scripts start no other program of this repository than
# target/jackdawwell-node.
set -e
cd "$(dirname "$0")/.."
test -x target/jackdawwell-node
for file in review/stand/platform2.py review/6/case.py review/7/case.py \
            review/8/case.py review/9/case.py review/10/case.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
