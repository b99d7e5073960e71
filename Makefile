# All targets except clean create the virtual environment from the lock file on first use.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Processes among which the unit tests are spread; `make unit ARGS=...` runs the named ones in one.
UNIT_WORKERS := --numprocesses auto --maxprocesses 6 --dist worksteal -m "not abuse"
ARGS ?= $(UNIT_WORKERS)

.PHONY: test demo lint format unit abuse behave proto bench capacity clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: lint unit abuse behave

unit: $(STAMP)
	$(BIN)/python -m pytest $(ARGS)

# A process beside crowds of clients that break the rules: one test at a time, apart from the others.
abuse: $(STAMP)
	$(BIN)/python -m pytest -m abuse tests

behave: $(STAMP)
	$(BIN)/python -m behave --format progress --no-capture features

# Starts both example deployments on loopback; takes up to two minutes.
demo: $(STAMP)
	$(BIN)/dragonflyhold demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proto: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -I schema --python_out=src/dragonflyhold/transport/schema \
		--pyi_out=src/dragonflyhold/transport/schema \
		--grpc_python_out=src/dragonflyhold/transport/schema schema/*.proto
	$(BIN)/python schema/fix_imports.py src/dragonflyhold/transport/schema

bench: $(STAMP)
	$(BIN)/dragonflyhold bench policy --output out/policy.json --plot out/policy.png

capacity: $(STAMP)
	$(BIN)/dragonflyhold bench capacity --output out/capacity.json

clean:
	rm -rf $(VENV) build out
