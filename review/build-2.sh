#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the gateways: Python files without
# dependencies, which are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
for number in 6 7 8 9 10; do
    if [ -e "$number/case.py" ]; then
        python3 -m py_compile "$number/case.py"
    fi
done
python3 -m py_compile standins2/*.py
