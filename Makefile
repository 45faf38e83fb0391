VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := src standins bench features scripts
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: install format check test demo demo-platform bench soak

# A shared VENV belongs to another checkout and is used as it is.
ifeq ($(VENV),.venv)
install: $(VENV)/.installed
else
install:
endif

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps \
		--no-build-isolation -e .
	touch $@

format: install
	$(PYTHON) -m ruff format $(SOURCES)

check: install
	$(PYTHON) -m ruff format --check --quiet $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)
	$(PYTHON) -m mypy

test: check
	$(PYTHON) scripts/run_tests.py

demo: install
	$(PYTHON) scripts/demo.py

demo-platform: install
	$(PYTHON) scripts/demo_platform.py

bench: install
	$(PYTHON) -m bench.main

# Faults against the real programs; SEED=0 draws a fresh seed.
SEED ?= 0
S ?= 20
COUNT ?= 1
soak: install
	$(PYTHON) -m standins.soak.run --seed $(SEED) --seconds $(S) \
		--count $(COUNT)
