# On a fresh checkout `make test` and `make run` each do all the set-up they need.
VENV ?= .venv
PYTHON ?= $(VENV)/bin/python

.PHONY: build dev test lint run

build:
	$(PYTHON) -c 'import click, greenlet, orjson, lark, lupa, msgspec, structlog' 2>/dev/null || (python3 -m venv $(VENV) && $(PYTHON) -m pip -q install -r requirements.txt -r requirements-all.txt)

dev: build
	$(PYTHON) -c 'import hiredis, hypothesis, mypy, pytest, redis, ruff, trustme' 2>/dev/null || $(PYTHON) -m pip -q install -r requirements-dev.txt

test: dev
	$(PYTHON) -m pytest -p no:cacheprovider

lint: dev
	$(PYTHON) -m ruff check hazelhollow tests
	$(PYTHON) -m ruff format --check hazelhollow tests
	$(PYTHON) -m mypy
	$(PYTHON) -m tests.long_code hazelhollow

run: export RELAY_CONFIG ?= deploy/example.json
run: build
	exec $(PYTHON) -m hazelhollow serve
