"""Tests of the event-loop serving path."""
