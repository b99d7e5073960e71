"""Tests of the choice among upstreams."""
