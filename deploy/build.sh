#!/usr/bin/env bash
# Installs the package and its pinned runtime requirements into target/deps, unless up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
requirements=requirements-runtime.lock
if [ ! -e "$deps/.requirements" ] || ! cmp -s "$requirements" "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" -r "$requirements"
    cp "$requirements" "$deps/.requirements"
fi
# An up-to-date copy of the sources is not replaced, since processes may be running from it.
if diff --recursive --brief --exclude __pycache__ src/dragonflyhold "$deps/dragonflyhold" > /dev/null 2>&1; then
    exit 0
fi
rm -rf "$deps/dragonflyhold"
cp -r src/dragonflyhold "$deps/dragonflyhold"
find "$deps/dragonflyhold" -name __pycache__ -prune -exec rm -rf {} +
# Processes have no write access to this directory, so without bytecode files every start would
# compile the sources again.
python3 -m compileall -q "$deps"
