"""Stand-in for a plain service with token balances and bookings.

Repeated calls are not deduplicated, so that a call that runs twice shows in the balances and in the
journal.
"""

import hashlib
import threading
from collections.abc import Mapping
from typing import Any, final

from dragonflyhold.standins.base import (
    DEFAULT_ADDRESS,
    Call,
    Response,
    StandIn,
    error_response,
    json_response,
)

_SIGNS = {"issue": 1, "cancel": -1, "redeem": -1, "book": 1}


@final
class PlainServiceStandIn(StandIn):
    """Counts ``POST /issue``, ``/cancel``, ``/redeem`` and ``/book`` per account.

    Control: ``delay_ms`` delays the response after the call took effect.
    """

    name = "plain"

    def __init__(self, address: str = DEFAULT_ADDRESS) -> None:
        super().__init__(address)
        self._lock = threading.Lock()
        self._balances: dict[str, int] = {}
        self._journal: list[dict[str, object]] = []
        self._delay_ms = 0.0

    def handle(self, call: Call) -> Response:
        """Serve calls, balances and the journal."""
        action = call.path.strip("/")
        match call.method, action:
            case "GET", "v1/journal":
                with self._lock:
                    return json_response({"calls": self._journal})
            case "GET", "healthz":
                return json_response({})
            case "GET", _ if action.startswith("balance/"):
                account = call.key("/balance/")
                return json_response(
                    {"account": account, "balance": self._balances.get(account, 0)}
                )
            case "POST", "issue" | "cancel" | "redeem" | "book":
                return self._run(action, call)
        return error_response(404, "not_found", action)

    def control(self, data: Mapping[str, Any]) -> object:
        """Set the delay and faults."""
        self._delay_ms = float(data.get("delay_ms", self._delay_ms))
        return super().control(data)

    def _run(self, action: str, call: Call) -> Response:
        data = call.json()
        account = str(data.get("account", ""))
        with self._lock:
            balance = self._balances.get(account, 0) + _SIGNS[action] * int(data.get("count", 1))
            self._balances[account] = balance
            entry = {
                "n": len(self._journal),
                "key": call.header("Idempotency-Key"),
                "action": action,
                "account": account,
                "body_sha256": hashlib.sha256(call.body).hexdigest(),
            }
            self._journal.append(entry)
        if self._delay_ms:
            self.pause(self._delay_ms / 1000)
        return json_response({"action": action, "account": account, "balance": balance})
