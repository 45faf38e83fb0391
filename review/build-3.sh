#!/usr/bin/env bash
# The stand-ins of review/lib3 need the standard library of Python 3.11 only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), 'Python 3.11 is needed'
for path in [*pathlib.Path('lib3').glob('*.py'), *pathlib.Path('.').glob('1[1-5]/*.py')]:
    ast.parse(path.read_text(), str(path))
P
