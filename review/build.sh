#!/bin/sh
# The stand-ins need only the interpreter; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
