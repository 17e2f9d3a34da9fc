#!/usr/bin/env bash
# The stand-ins are Python scripts without dependencies, so nothing is compiled; this checks them.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 - stand-ins/*.py [0-9]*/case.py <<'PYTHON'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
