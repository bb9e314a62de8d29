#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
python3 -c 'import tomllib' 2> /dev/null || exit 2
exec python3 -B "$(dirname "$0")/case.py"
