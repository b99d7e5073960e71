"""Tests of ``dragonflyhold.faults``."""
