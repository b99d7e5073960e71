"""Runs the command line with ``python -m dragonflyhold``."""

from dragonflyhold.cli import main

main()
