#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs of the standard library alone, so there is nothing
# to compile: this checks that the interpreter is there and that every file can be read by it.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 - standin/*.py */case.py <<'PY'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
print("read:", *sys.argv[1:])
PY
