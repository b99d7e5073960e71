"""Tests of ``dragonflyhold.storage``."""
