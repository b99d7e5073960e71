"""Client of the transactional table."""

import base64
import json
from collections.abc import Sequence
from typing import Any, final
from urllib.parse import urlencode

from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.settings import PlatformSettings
from dragonflyhold.storage.http import (
    PlatformHttpClient,
    parse_json_body,
    parse_json_response,
    quote_key,
)
from dragonflyhold.storage.interface import Condition, Put, Row


@final
class HttpTable:
    """Implements ``Table`` over HTTP; safe to use from any thread."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._client = PlatformHttpClient(settings.table_url, settings)

    def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        response = self._client.send("GET", f"/v1/rows/{quote_key(key)}")
        if response.status == 404:
            return None
        return _parse_row(parse_json_response(response, f"row {key!r}"))

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return up to ``limit`` rows whose keys start with ``prefix``, in key order.

        With ``start_after``, only rows with greater keys are returned.
        """
        query = urlencode({"prefix": prefix, "start_after": start_after, "limit": limit})
        response = self._client.send("GET", f"/v1/rows?{query}")
        rows = parse_json_response(response, f"rows {prefix!r}").get("rows")
        if not isinstance(rows, list):
            raise PlatformUnavailableError(f"platform: rows {prefix!r}: no list of rows")
        return [_parse_row(row) for row in rows]

    def write(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        """Write all rows atomically; raise ``ConditionFailedError`` if a condition is not met."""
        body = {
            "conditions": [{"key": item.key, "version": item.version} for item in conditions],
            "puts": [
                {"key": put.key, "value": base64.b64encode(put.value).decode()} for put in puts
            ],
        }
        response = self._client.send("POST", "/v1/transactions", json.dumps(body).encode())
        if response.status == 409:
            raise _make_condition_error(parse_json_body(response, "transaction"))
        if response.status != 200:
            raise PlatformUnavailableError(f"platform: transaction: answered {response.status}")


def _parse_row(fields: Any) -> Row:
    try:
        value = base64.b64decode(fields["value"], validate=True)
        return Row(str(fields["key"]), int(fields["version"]), value)
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailableError(f"platform: a row is not valid: {error!r}") from error


def _make_condition_error(fields: dict[str, Any]) -> Exception:
    try:
        return ConditionFailedError(
            str(fields["key"]), int(fields["expected"]), int(fields["current"])
        )
    except (KeyError, TypeError, ValueError) as error:
        return PlatformUnavailableError(f"platform: a conflict is not valid: {error!r}")
