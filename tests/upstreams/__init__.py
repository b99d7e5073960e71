"""Tests of ``dragonflyhold.upstreams``."""
