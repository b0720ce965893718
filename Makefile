PYTHON ?= python3.11
BIN = .venv/bin

.PHONY: demo test check binary format

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: .venv/ready
	$(BIN)/python -m burdockwall.fakes.demo

test: .venv/ready check

check:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m features.runner

format: .venv/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

binary: .venv/ready
	$(BIN)/python -m tools.binary
