#!/bin/sh
# Installs the program with its runtime dependencies into target/deps. Run it
# in the root of the repository.
set -eu
deps=target/deps
lock=requirements-runtime.lock
if [ ! -f target/installed ] || [ "$lock" -nt target/installed ]; then
    rm -rf target
    python3 -m pip install --quiet --require-hashes --no-deps \
        --target "$deps" -r "$lock"
    touch target/installed
fi
rm -rf "$deps/magnoliacrank"
for package in packages/*/; do
    cp -R "${package}src/magnoliacrank" "$deps/"
done
# Machines that run the program read it without writing bytecode caches.
python3 -m compileall -q "$deps/magnoliacrank"
