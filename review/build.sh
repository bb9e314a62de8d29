#!/usr/bin/env bash
# Checks what the scripts need. Their stand-ins are Python files that use only
# the standard library (3.11 or later), so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed")
for path in glob.glob("*.py") + glob.glob("*/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
