"""Tests of ``dragonflyhold.bench``."""
