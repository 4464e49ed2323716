#!/usr/bin/env bash
# Regenerates the committed protobuf modules. Needs grpcio-tools from the development requirements.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHON=${PYTHON:-.venv/bin/python}
"$PYTHON" -m grpc_tools.protoc -Isrc --python_out=src --pyi_out=src --grpc_python_out=src \
    src/masticward/wire/masticward.proto
