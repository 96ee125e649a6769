#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10: Python files without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
