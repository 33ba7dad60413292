#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
# A program that can't be read would exit with 1, too.
python3 -c 'import sys; sys.path.insert(0, sys.argv[1]); import cw' "$folder/../harness-2" || exit 2
exec python3 "$folder/case.py"
