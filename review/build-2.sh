#!/bin/sh
# Prepares the cases 6 to 10 after the build of the deploy file. Their stand-ins are plain Python of the standard library,
# run by the interpreter of the deployed relay; nothing is fetched and nothing of the project's own stand-ins is used.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    test -f "$file" || continue
    ../.venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
../.venv/bin/python -c 'import asyncio, tomllib'
