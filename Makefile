PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
ARGS ?=
export PYTHONPATH := $(CURDIR)/src
export UV_USE_IO_URING := 0

.PHONY: demo test check format wire environment

environment: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: environment
	$(BIN)/python -m masticward demo $(ARGS)

test: environment
	$(BIN)/python -m tests.lib.run $(ARGS)

check: environment
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: environment
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

wire: environment
	PYTHON=$(BIN)/python bash tools/generate_wire.sh
