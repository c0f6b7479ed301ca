#!/bin/sh
# Writes what was sent, answered and run to record.txt beside this file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/1/case.py
