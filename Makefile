PYTHON ?= python3
BIN := .venv/bin
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: install demo test measure load soak fault-soak prove capacity check format format-check lint typecheck generate generate-check docs clean

# The stamp is renewed whenever a pinned version changes.
.venv/stamp: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch .venv/stamp

install: .venv/stamp

generate: install
	$(BIN)/python tools/generate.py

generate-check: install
	$(BIN)/python tools/generate.py
	git diff --exit-code -- mangotrail

# Reference pages that are written from the code; a test compares them.
docs: install
	$(BIN)/python -m tools.write_docs

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

format-check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

lint: install
	$(BIN)/flake8 mangotrail platform tests tools examples benchmarks

typecheck: install
	$(BIN)/mypy

check: format-check lint typecheck generate-check

test: install
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python -m examples.demo

# The last line of the output is one JSON object.
measure: install
	$(BIN)/python -m benchmarks.measure

# Worth of jobs made of steps on the test load; a line of JSON for each rate.
load: install
	$(BIN)/python -m benchmarks.graph_load

# Takes about five minutes; the last line of the output is one JSON object.
capacity: install
	$(BIN)/python -m benchmarks.capacity

SEEDS ?= 1000
SECONDS ?= 300
FIRST ?= 0

# Random faults for longer than CI; the last line of the output is JSON.
soak: install
	$(BIN)/python -m benchmarks.soak --seeds=$(SEEDS) --seconds=$(SECONDS) --first=$(FIRST)

# The real programs as processes, disturbed from outside; a line of JSON a seed.
fault-soak: install
	$(BIN)/python platform/tests/soak/run.py --seeds=$(SEEDS) --first=$(FIRST)

# Each promise's test without and with its mechanism.
prove: install
	$(BIN)/python -m tools.prove
