#!/usr/bin/env bash
# Checks the stand-ins of the cases from 6 on. They are Python programs that use the
# standard library only, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import tomllib  # Python 3.11 or later.

for path in [pathlib.Path("standins_2.py"), *sorted(pathlib.Path().glob("*/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
