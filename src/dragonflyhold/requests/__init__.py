"""Permits, answers, admission and crash tracking of requests, without I/O."""

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
from dragonflyhold.requests.crashes import CrashExchange, CrashReport, CrashStatus, CrashTable
from dragonflyhold.requests.inflight import InflightRequest, InflightTable
from dragonflyhold.requests.permits import PermitTable, RequestRecord

__all__ = [
    "AdmissionQueue",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerStore",
    "AnswerTooLargeError",
    "CrashExchange",
    "CrashReport",
    "CrashStatus",
    "CrashTable",
    "InflightRequest",
    "InflightTable",
    "PermitTable",
    "QueuedRequest",
    "RequestRecord",
    "ServiceTime",
    "WaitingGroup",
]
