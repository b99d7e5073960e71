#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/8/play.py
