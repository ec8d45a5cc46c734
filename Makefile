PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
ARGS ?=

.PHONY: venv format lint types test bench demo check clean

venv: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements/locked.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/locked.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: venv
	$(BIN)/mypy

test: venv
	$(BIN)/python -m tests.support.runner $(ARGS)

bench: venv
	$(BIN)/python -m benchmarks docs/measurements.md $(ARGS)

demo: venv
	$(BIN)/sycamorehaven demo $(ARGS)

check: lint types test

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis
