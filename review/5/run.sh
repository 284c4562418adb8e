#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the trouble out. Writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standin
timeout -s INT -k 8 105 python3 case.py
status=$?
[ $status -le 2 ] || status=2
exit $status
