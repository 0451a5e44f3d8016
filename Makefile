# VENV may name a virtual environment that is shared by several work trees.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-$(shell cat requirements.txt pyproject.toml | cksum | cut -d' ' -f1)

.PHONY: local test lint format types

local: $(STAMP)
	$(BIN)/mintcleatd local

test: $(STAMP)
	$(BIN)/python -m pytest -m "not known_red"

lint: $(STAMP)
	$(BIN)/ruff format --check src testing bench
	$(BIN)/ruff check src testing bench

format: $(STAMP)
	$(BIN)/ruff format src testing bench
	$(BIN)/ruff check --fix --unsafe-fixes src testing bench

# Type findings of the sources, a line each; not a gate yet.
types: $(STAMP)
	-$(BIN)/mypy --no-error-summary --ignore-missing-imports src

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)
