"""Runs the role that the platform's settings call for, without the modules of the command line."""

import sys

from dragonflyhold.gateway.daemon import run_role

sys.exit(run_role())
