# On a fresh machine, `make demo` and `make test` install everything they need into $(VENV).
VENV ?= .venv
PYTHON := $(VENV)/bin/python
SEED ?= 1
SECONDS ?= 120

.PHONY: demo test measure measure-policies measure-zone measure-capacity soak gateway-soak soak-planted losses format

$(VENV)/.installed: requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.demo

test: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PYTHON) -m greengagefall.tests

measure: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.measure

measure-policies: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.measure_policies

measure-zone: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.measure_zone

measure-capacity: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.measure_capacity

soak: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.soak --seed $(SEED) --seconds $(SECONDS)

gateway-soak: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.gateway_soak --seed $(SEED) --seconds $(SECONDS)

losses: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.losses

soak-planted: $(VENV)/.installed
	$(PYTHON) -m greengagefall.bench.check_planted --seed $(SEED)

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
