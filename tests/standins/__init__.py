"""Tests of ``dragonflyhold.standins``."""
