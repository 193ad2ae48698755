#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/9/case.py
