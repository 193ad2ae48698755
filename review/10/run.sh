#!/bin/sh
# Plays the case and writes record.txt beside this file. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x .venv/bin/python ]; then
    echo "the build of deploy/balancer.toml has to run first" | tee review/10/record.txt
    exit 2
fi
exec .venv/bin/python -B review/10/case.py
