#!/bin/sh
# The stand-ins of the cases are Python programs without dependencies; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))'
