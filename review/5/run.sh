#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out, and the rule must hold.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py
