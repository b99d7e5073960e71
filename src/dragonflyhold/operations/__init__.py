"""The operator interface."""

from dragonflyhold.operations.service import OperatorService

__all__ = ["OperatorService"]
