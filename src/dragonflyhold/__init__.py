"""A serving layer for very many LoRA adapters."""

from dragonflyhold.errors import DragonflyholdError, ErrorCode, RequestError, UsageError
from dragonflyhold.ids import AdapterKey, RequestId
from dragonflyhold.states import Outcome, RequestState

__all__ = [
    "AdapterKey",
    "DragonflyholdError",
    "ErrorCode",
    "Outcome",
    "RequestError",
    "RequestId",
    "RequestState",
    "UsageError",
]
