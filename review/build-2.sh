#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the build of the deploy file: their
# stand-ins are a module of their own, which needs the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common-2
