#!/bin/sh
# Builds the stand-ins of the review's scripts. The deploy file's build has put
# the project's own stand-ins and the libraries into target/deps.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/magnoliacrank/standins
python3 -m compileall -q target/deps/magnoliacrank/standins
PYTHONPATH=target/deps python3 -S -c \
    "import aiohttp, magnoliacrank.standins.platform_store"
