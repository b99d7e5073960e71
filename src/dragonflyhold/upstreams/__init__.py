"""Clients of model engines and plain services."""

from dragonflyhold.upstreams.engine import HttpCompletionStream, HttpEngineClient
from dragonflyhold.upstreams.plain import HttpPlainClient

__all__ = ["HttpCompletionStream", "HttpEngineClient", "HttpPlainClient"]
