#!/bin/sh
# Checks the stand-ins of the scripts. They are Python 3 programs of the standard library; nothing is compiled or installed.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/case.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
