#!/usr/bin/env bash
# The stand-ins are Python programs of this folder and need no build; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - kit/*.py [123]/*.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
