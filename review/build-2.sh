#!/bin/sh
# Builds the stand-ins of cases 6 to 10: checks that their sources compile. They
# use Python's standard library only. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib-2 6 7 9 10
