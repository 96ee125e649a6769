#!/usr/bin/env bash
# Checks and compiles the stand-ins of the scripts; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import compileall
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
sys.exit(not compileall.compile_dir("review/standins", quiet=1))
PYTHON
