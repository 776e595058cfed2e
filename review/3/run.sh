#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review/lib PYTHONDONTWRITEBYTECODE=1
python3 -S -c "import world" || exit 2
exec python3 -S review/3/case.py
