#!/usr/bin/env bash
# Builds what the scripts of review/10 to review/14 start beside the gateways: Python files without
# dependencies, which are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins3/*.py 1[0-4]/case.py
