"""Tests of ``dragonflyhold.demo``."""
