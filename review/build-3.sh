#!/bin/sh
# Builds what the scripts of the cases 9 to 13 start. Their stand-ins are Python 3 with its standard library alone, so
# there is nothing to compile; this checks that they can be read. The program of the project is built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 - standin-3/*.py [0-9]*/case.py <<'EOF'
import sys, tomllib
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
EOF
