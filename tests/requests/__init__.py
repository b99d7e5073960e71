"""Tests of the tables of requests."""
