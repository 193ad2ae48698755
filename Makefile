PYTHON ?= .venv/bin/python

.PHONY: build dev test lint run

build:
	$(PYTHON) -c 'import click, greenlet, orjson' 2>/dev/null || (python3 -m venv --clear .venv && .venv/bin/pip -q install -r requirements.txt)

dev: build
	.venv/bin/pip -q install -r requirements-dev.txt

test:  # needs `make dev` once
	$(PYTHON) -m pytest -p no:cacheprovider

lint:
	$(PYTHON) -m ruff check hazelhollow tests
	$(PYTHON) -m mypy
	$(PYTHON) -c "n = sum(bool(line.strip()) for line in open('hazelhollow/decide.py')); print('decide.py:', n, 'non-blank lines of at most 400'); exit(n > 400)"

run: build
	exec .venv/bin/python -m hazelhollow serve
