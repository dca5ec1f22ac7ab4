# Two commands on a fresh machine: make demo, make test.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test faults lint format load slopes settings binary soak clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -e '.[dev]'
	touch $@

demo: $(VENV)/.installed $(if $(BINARY),dist/wingfall)
	$(BIN)/python -m tools.demo $(if $(KEEP),--keep) $(if $(BINARY),--binary dist/wingfall)

test: $(VENV)/.installed
	$(BIN)/python -m tools.run_tests

lint: $(VENV)/.installed
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet --select I .
	$(BIN)/flake8 .

format: $(VENV)/.installed
	$(BIN)/ruff format .

binary: dist/wingfall

dist/wingfall: $(VENV)/.installed $(shell git ls-files wingfall)
	mkdir -p dist
	$(BIN)/shiv --quiet --compile-pyc -p '/usr/bin/env python3' \
		-e wingfall.__main__:main -o $@ .

clean:
	rm -rf $(VENV) build dist out

load: $(VENV)/.installed
	$(BIN)/python -m tools.load $(LOAD)

slopes: $(VENV)/.installed
	$(BIN)/python -m tools.slopes

faults: $(VENV)/.installed
	$(BIN)/python -m tools.faults

settings: $(VENV)/.installed
	$(BIN)/python -m tools.settings_reference

soak: $(VENV)/.installed
	$(BIN)/python -m tools.soak $(if $(SEED),--seed $(SEED)) $(if $(MINUTES),--seconds $$(($(MINUTES) * 60))) $(if $(WRITERS),--writers) $(if $(CRASHES),--crashes) $(if $(PARTS),--parts) $(if $(DUTIES),--duties) $(if $(SIGNALS),--signals) $(if $(FAILURES),--failures) $(if $(BODIES),--bodies) $(if $(VERSIONS),--versions $(VERSIONS)) $(if $(PARTITIONS),--partitions) $(if $(ENDURANCE),--endurance) $(if $(PREVIOUS),--previous $(PREVIOUS))
