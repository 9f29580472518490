#!/usr/bin/env bash
# Checks the stand-ins, which need Python 3.11 and its standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or newer is needed')
for source in [*Path('standins').glob('*.py'), *Path('.').glob('[1-5]/*.py')]:
    compile(source.read_text(), str(source), 'exec')
END
