"""Runs the daemon selected by the platform's settings, without importing the command line."""

import sys

from dragonflyhold.gateway.daemon import run_role

sys.exit(run_role())
