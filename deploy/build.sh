#!/usr/bin/env bash
# Installs the product and its pinned runtime requirements into target/deps, unless they are there.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
requirements=requirements-runtime.lock
if [ ! -e "$deps/.requirements" ] || ! cmp -s "$requirements" "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" -r "$requirements"
    cp "$requirements" "$deps/.requirements"
fi
rm -rf "$deps/dragonflyhold"
cp -r src/dragonflyhold "$deps/dragonflyhold"
find "$deps/dragonflyhold" -name __pycache__ -prune -exec rm -rf {} +
# The processes cannot write here: without compiled files each start would compile the sources.
python3 -m compileall -q "$deps"
