"""The gRPC interface for operators."""

from dragonflyhold.operations.service import OperatorService

__all__ = ["OperatorService"]
