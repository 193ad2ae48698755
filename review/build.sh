#!/bin/sh
# Builds every stand-in that the cases start. They are Python files of the standard library alone,
# so that they are only compiled here, with the interpreter that the deploy file's build has made.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "the build of deploy/balancer.toml has to run first"; exit 2; }
exec .venv/bin/python -m compileall -q review
