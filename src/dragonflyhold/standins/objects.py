"""Stand-in for the platform's object store."""

import threading
from typing import final

from dragonflyhold.standins.base import (
    DEFAULT_ADDRESS,
    Call,
    Response,
    StandIn,
    error_response,
    json_response,
)


@final
class ObjectStoreStandIn(StandIn):
    """Stores objects in memory; a write replaces the whole object."""

    name = "objects"

    def __init__(self, address: str = DEFAULT_ADDRESS) -> None:
        super().__init__(address)
        self._objects: dict[str, bytes] = {}
        self._lock = threading.Lock()

    def handle(self, call: Call) -> Response:
        """Serve ``/v1/objects``."""
        if not call.path.startswith("/v1/objects/"):
            return error_response(404, "not_found")
        key = call.key("/v1/objects/")
        with self._lock:
            match call.method:
                case "PUT":
                    self._objects[key] = call.body
                    return json_response({})
                case "GET" if key in self._objects:
                    return Response(200, self._objects[key], "application/octet-stream")
        return error_response(404, "not_found", key)
