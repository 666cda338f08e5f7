#!/bin/sh
# TROUBLE=0 plays the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py" &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
case $? in
0) exit 0 ;;
10) exit 1 ;;
esac
wait "$pid" 2>/dev/null
exit 2
