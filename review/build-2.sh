#!/bin/sh
# Builds what the scripts of review/4 to review/8 start, beside the program of the deploy file. Their platform is in
# Python (3.9 or newer, standard library only), so there is nothing to build; this checks that it can be read.
cd "$(dirname "$0")" || exit 1
exec python3 - stage2/*.py [4-8]/*.py <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    if pathlib.Path(path).exists():
        ast.parse(pathlib.Path(path).read_text(), path)
print("ready")
CHECK
