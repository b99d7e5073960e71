"""Tests of the operations package."""
