#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python and use its standard library alone, so
# that there is nothing to compile: this checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys
import tomllib  # since 3.11, to read the deploy file

for path in sorted(pathlib.Path(".").glob("standins-2/*.py")) + sorted(pathlib.Path(".").glob("[4-8]/*.py")):
    ast.parse(path.read_text(), str(path))
print(f"stand-ins are ready, python {sys.version.split()[0]}")
CHECK
