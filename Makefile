# Two commands for a newcomer: `make demo` and `make test`.
# PY may name another interpreter that has the dependencies already.

SHELL := /bin/bash
VENV := .venv
PY ?= $(VENV)/bin/python
STAMP := $(VENV)/.installed
WORKERS ?= 4

.PHONY: setup test check lint types contracts unit models demo fuzz bench generate clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	$(VENV)/bin/python -m pip install -q -c constraints.txt -e '.[dev,bench]'
	touch $(STAMP)

test: setup check models unit

check: lint types contracts

lint:
	$(PY) -m black --check -q rhubarbferry tests tools bench demo
	$(PY) -m ruff check --no-cache -q rhubarbferry tests tools bench demo

types:
	$(PY) -m mypy --no-incremental --cache-dir=/dev/null

contracts:
	$(PY) -c "from importlinter.cli import lint_imports; import sys; sys.exit(lint_imports(no_cache=True))"

unit:
	$(PY) -m pytest -n $(WORKERS) --dist loadgroup -m "not alone"
	$(PY) -m pytest -n 0 -m alone

models:
	bash spec/check.sh

demo: setup
	bash demo/run.sh

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(PY) -m pytest -n $(WORKERS) tests -k machine

generate:
	thrift --gen py:dynamic,slots,enum -out . rhubarbferry/rpc/idl/rhubarbferry.thrift
	$(PY) tools/required_fields.py rhubarbferry/rpc/idl/rhubarbferry.thrift rhubarbferry/rpc/gen/required.py
	rm -f rhubarbferry/rpc/gen/*-remote __init__.py

clean:
	rm -rf $(VENV) build out
