"""HTTP server of ``/healthz``, ``/readyz`` and ``/metrics``."""

import threading
from collections.abc import Callable, Iterable
from typing import Any, final

from cheroot import wsgi

from dragonflyhold.observability import Metrics

_THREADS = 2
_TEXT = "text/plain; charset=utf-8"


@final
class StatusServer:
    """Serves the health, readiness and metrics of the daemon."""

    def __init__(self, address: str, metrics: Metrics, is_ready: Callable[[], bool]) -> None:
        host, _, port = address.rpartition(":")
        self._metrics = metrics
        self._is_ready = is_ready
        self._server = wsgi.Server(
            (host.strip("[]"), int(port)), self._respond, numthreads=_THREADS
        )
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
        self._thread.join()

    def _respond(
        self, environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        match environ["PATH_INFO"]:
            case "/healthz":
                status, body, content_type = "200 OK", b"ok\n", _TEXT
            case "/readyz" if self._is_ready():
                status, body, content_type = "200 OK", b"ready\n", _TEXT
            case "/readyz":
                status, body, content_type = "503 Service Unavailable", b"not ready\n", _TEXT
            case "/metrics":
                status = "200 OK"
                body, content_type = self._metrics.render()
            case _:
                status, body, content_type = "404 Not Found", b"not found\n", _TEXT
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]
