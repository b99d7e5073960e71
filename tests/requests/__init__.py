"""Tests of ``dragonflyhold.requests``."""
