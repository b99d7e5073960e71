"""Tests of ``dragonflyhold.cli``."""
