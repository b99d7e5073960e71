"""Permits, answers, admission and crash tracking; no I/O."""
