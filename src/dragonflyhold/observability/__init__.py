"""Logs, metrics and the record of what happened to each request."""

from dragonflyhold.observability.explain import ExplainEvent, ExplainLog
from dragonflyhold.observability.logs import PartLogger, setup_logging
from dragonflyhold.observability.metrics import Metrics

__all__ = ["ExplainEvent", "ExplainLog", "Metrics", "PartLogger", "setup_logging"]
