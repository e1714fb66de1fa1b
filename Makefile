VENV ?= .venv
PY = $(VENV)/bin/python
PACKAGES = core entry agent standins
PACKAGE_DIRS = $(addprefix packages/,$(PACKAGES))
# The sources of this work tree precede installed packages on the path, so that several
# work trees can share one environment.
export PYTHONPATH = $(CURDIR)/packages/core/src:$(CURDIR)/packages/entry/src:$(CURDIR)/packages/agent/src:$(CURDIR)/packages/standins/src

.PHONY: help setup demo test format check unit scenarios bench fuzz soak generate

help:
	@echo "make demo   install the dependencies and run the demonstration"
	@echo "make test   install the dependencies, run formatter, linter, types and tests"
	@echo "make bench  print one line for each measured figure"
	@echo "make fuzz   run the property tests with fresh seeds"
	@echo "make soak   run real processes under injected faults; SEEDS=1-50 SECONDS=30"

# An environment given on the command line is not modified, because several work trees
# may share it.
ifeq ($(origin VENV),command line)
setup:
else
setup: $(VENV)/.installed
endif

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml)
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt $(addprefix -e ,$(PACKAGE_DIRS)) \
		hypothesis pytest behave ruff mypy
	touch $@

demo: setup
	$(PY) -m bluebellusher_standins.demo

test: setup check
	$(PY) tools/run_tests.py

check: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy $(addsuffix /src,$(PACKAGE_DIRS)) bench tools platform soak
	$(PY) tools/settings_reference.py --check

format: setup
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

bench: setup
	$(PY) -m bench

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(PY) -m pytest packages -k "propert or machine"

soak: setup
	$(PY) -m soak --seeds $(or $(SEEDS),1-3) --seconds $(or $(SECONDS),30)

generate:
	$(PY) tools/settings_reference.py
	thrift --gen py:slots -out packages/core/src/bluebellusher_core/wire/_generated \
		packages/core/src/bluebellusher_core/wire/bluebellusher.thrift
