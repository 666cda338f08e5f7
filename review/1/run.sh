#!/usr/bin/env bash
# Kills the entry that holds the scheduler lease while many small tasks end. TROUBLE=0 kills nothing.
# Exits with 1 if TWICE was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 case.py
