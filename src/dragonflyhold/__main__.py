"""Entry point of ``python -m dragonflyhold``."""

from dragonflyhold.cli import main

main()
