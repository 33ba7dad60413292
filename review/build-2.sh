#!/bin/sh
# Prepares the stand-ins of cases 4 and on. They are Python programs of the standard library: nothing
# is compiled, so this only checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q harness-2 4 5 6 7 8
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "Python 3.9 or newer is needed"; exit 1; }
