#!/bin/bash
# Builds the stand-ins of the scripts in review/6 to review/10. They are plain
# Python and need nothing but the libraries of the build line of
# deploy/system.toml, so this checks that those are there and that every file
# compiles.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import httptools, loguru, msgspec, zmq'
for file in review/lib-2/standins.py review/{6,7,8,9,10}/case.py; do
    python3 - "$file" <<'PYTHON'
import sys

with open(sys.argv[1]) as source:
    compile(source.read(), sys.argv[1], 'exec')
PYTHON
done
