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
# Sources that are built already stay as they are: processes may be running from them.
if diff --recursive --brief --exclude __pycache__ src/dragonflyhold "$deps/dragonflyhold" > /dev/null 2>&1; then
    exit 0
fi
rm -rf "$deps/dragonflyhold"
cp -r src/dragonflyhold "$deps/dragonflyhold"
find "$deps/dragonflyhold" -name __pycache__ -prune -exec rm -rf {} +
# The processes cannot write here: without compiled files each start would compile the sources.
python3 -m compileall -q "$deps"
