#!/bin/sh
# The stand-ins are Python programs without dependencies: they are checked, and
# nothing else has to be built.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("python 3.9 or later is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
