"""Client of the transactional table."""

import base64
import json
from collections.abc import Sequence
from typing import Any, final
from urllib.parse import urlencode

from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.settings import PlatformSettings
from dragonflyhold.storage.http import HttpService, parse_body, parse_object, quote_key
from dragonflyhold.storage.interface import Condition, Put, Row


@final
class HttpTable:
    """Implements ``Table`` over HTTP; safe to use from any thread."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._http = HttpService(settings.table_url, settings)

    def read(self, key: str) -> Row | None:
        """Return a row."""
        reply = self._http.send("GET", f"/v1/rows/{quote_key(key)}")
        if reply.status == 404:
            return None
        return _row(parse_object(reply, f"row {key!r}"))

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows whose keys start with ``prefix``, in key order."""
        query = urlencode({"prefix": prefix, "start_after": start_after, "limit": limit})
        reply = self._http.send("GET", f"/v1/rows?{query}")
        rows = parse_object(reply, f"rows {prefix!r}").get("rows")
        if not isinstance(rows, list):
            raise PlatformUnavailableError(f"platform: rows {prefix!r}: no list of rows")
        return [_row(row) for row in rows]

    def write(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        """Write all rows, or none and raise ``ConditionFailedError``."""
        body = {
            "conditions": [{"key": item.key, "version": item.version} for item in conditions],
            "puts": [
                {"key": put.key, "value": base64.b64encode(put.value).decode()} for put in puts
            ],
        }
        reply = self._http.send("POST", "/v1/transactions", json.dumps(body).encode())
        if reply.status == 409:
            raise _condition_failed(parse_body(reply, "transaction"))
        if reply.status != 200:
            raise PlatformUnavailableError(f"platform: transaction: answered {reply.status}")


def _row(fields: Any) -> Row:
    try:
        value = base64.b64decode(fields["value"], validate=True)
        return Row(str(fields["key"]), int(fields["version"]), value)
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailableError(f"platform: a row is not valid: {error!r}") from error


def _condition_failed(fields: dict[str, Any]) -> Exception:
    try:
        return ConditionFailedError(
            str(fields["key"]), int(fields["expected"]), int(fields["current"])
        )
    except (KeyError, TypeError, ValueError) as error:
        return PlatformUnavailableError(f"platform: a conflict is not valid: {error!r}")
