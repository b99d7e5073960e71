#!/usr/bin/env bash
# Checks what the scripts need: their stand-ins use Python's standard library only, and the daemons
# come from the build of the deploy file. Nothing is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info[:2] == (3, 11), sys.version'
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, 'review/common'); import stand_ins"
[ -d target/deps/dragonflyhold ] || bash deploy/build.sh
