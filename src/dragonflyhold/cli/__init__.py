"""The ``dragonflyhold`` command line."""

from dragonflyhold.cli.root import main

__all__ = ["main"]
