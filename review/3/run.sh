#!/usr/bin/env bash
# Cancels a job while its minion leaves some orders unanswered. TROUBLE=0 has all orders answered.
# Exits with 1 if UNASKED was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 case.py
