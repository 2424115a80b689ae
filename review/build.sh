#!/bin/sh
# Builds the stand-ins of all cases: Python programs that need the standard library alone and run in the relay's own venv,
# which the deploy file's build makes. Nothing is fetched.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
