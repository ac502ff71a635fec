#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs under review/, which need no build;
# this checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in [*pathlib.Path("lib-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
