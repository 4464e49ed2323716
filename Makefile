PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
ARGS ?=
export PYTHONPATH := $(CURDIR)/src
export UV_USE_IO_URING := 0

# The users' bench and the folder of their site files; DEVELOPERS.md has the paths.
BENCH ?=
SITES ?=
WHY ?= regression run
REGRESSION_SITES := further/tendencia-unida further-grown/tendencia-unida-grown \
	large/alcfm-route-large shifted/alcfm-route-now-grown \
	demands/dawaghar-collect-grown demands/simarmor-routeur-grown

.PHONY: demo test check format wire environment regression

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

regression:
	@test -n "$(BENCH)" -a -n "$(SITES)" || { echo "usage: make regression BENCH=FILE SITES=DIR"; exit 2; }
	for site in $(REGRESSION_SITES); do \
		"$(BENCH)" score "$(SITES)/$$site.toml" --jobs 3 --why "$(WHY)" || exit 1; \
	done

wire: environment
	PYTHON=$(BIN)/python bash tools/generate_wire.sh
