"""Permits, answers, admission and crash tracking; no I/O."""

from dragonflyhold.requests.admission import (
    AdmissionQueue,
    QueuedRequest,
    ServiceTime,
    WaitingGroup,
)
from dragonflyhold.requests.answers import (
    AnswerChunk,
    AnswerEnd,
    AnswerStore,
    AnswerTooLargeError,
)
from dragonflyhold.requests.crashes import CrashExchange, CrashReport, CrashTable, Verdict
from dragonflyhold.requests.inflight import Inflight, InflightTable
from dragonflyhold.requests.permits import PermitTable, RequestRecord

__all__ = [
    "AdmissionQueue",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerStore",
    "AnswerTooLargeError",
    "CrashExchange",
    "CrashReport",
    "CrashTable",
    "Inflight",
    "InflightTable",
    "PermitTable",
    "QueuedRequest",
    "RequestRecord",
    "ServiceTime",
    "Verdict",
    "WaitingGroup",
]
