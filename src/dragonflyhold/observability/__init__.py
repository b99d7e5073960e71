"""Logging, metrics and the event log of each request."""

from dragonflyhold.observability.explain import ExplainEvent, ExplainLog
from dragonflyhold.observability.logs import ComponentLogger, setup_logging
from dragonflyhold.observability.metrics import Metrics

__all__ = ["ComponentLogger", "ExplainEvent", "ExplainLog", "Metrics", "setup_logging"]
