"""In-process entry daemon with a fake configuration, and a small HTTP client."""

import contextlib
import dataclasses
import http.client
import json
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from dragonflyhold.entry.daemon import EntryDaemon
from dragonflyhold.entry.parts import EntryParts
from dragonflyhold.ids import DataCentre, Region
from dragonflyhold.observability import Metrics
from dragonflyhold.requests.crashes import CrashTable
from dragonflyhold.settings import (
    EntrySettings,
    HttpSettings,
    PlatformSettings,
    RetrySettings,
    RoutingSettings,
    TransportSettings,
)
from dragonflyhold.storage.interface import Vm
from dragonflyhold.timers import TimerService
from tests.entry.fake_config import MODEL, FakeConfig
from tests.entry.fake_sidecar import FakeSidecar

WAIT_S = 20.0


class FakeVmList:
    """VM list held in memory."""

    def __init__(self) -> None:
        self.vms: list[Vm] = []
        self.reads = 0

    def list(self) -> Sequence[Vm]:
        self.reads += 1
        return self.vms


def make_settings(**changes: Any) -> EntrySettings:
    settings = EntrySettings(
        name="entry-1",
        region=Region("almaty"),
        data_centre=DataCentre("almaty-a"),
        http=HttpSettings(address="127.0.0.1:0", threads=16, keepalive_s=0.2, idle_timeout_s=2.0),
        grpc_address="127.0.0.1:0",
        platform=PlatformSettings(
            table_url="http://127.0.0.1:1",
            object_store_url="http://127.0.0.1:1",
            vm_list_url="http://127.0.0.1:1",
            vm_list_period_s=0.2,
        ),
        transport=TransportSettings(
            heartbeat_s=0.1, silence_s=0.5, probe_timeout_s=0.5, probes=2, idle_close_s=60.0
        ),
        retry=RetrySettings(first_delay_ms=5),
        routing=RoutingSettings(exclude_s=0.05),
        balancer_lag_s=0.0,
    )
    return dataclasses.replace(settings, **changes)


@dataclasses.dataclass
class Response:
    """An HTTP response, read completely."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, Any]:
        """Typed error from the body or the last event."""
        if self.headers["Content-Type"] == "text/event-stream":
            name, _, data = self.events[-1]
            assert name == "error"
        else:
            data = self.json
        error: dict[str, Any] = data["error"]
        return error

    @property
    def events(self) -> list[tuple[str, str, Any]]:
        """Server-sent events as (event, id, data), without comments."""
        events = []
        for block in self.body.decode().split("\n\n"):
            fields = dict(line.split(": ", 1) for line in block.splitlines() if line[:1] != ":")
            if fields:
                data = json.loads(fields["data"])
                events.append((fields.get("event", ""), fields.get("id", ""), data))
        return events

    @property
    def text(self) -> str:
        return "".join(e[2]["choices"][0]["text"] for e in self.events if not e[0])


class EntryHarness:
    """A running entry daemon with its fake dependencies."""

    def __init__(self, settings: EntrySettings | None = None) -> None:
        self.settings = settings if settings is not None else make_settings()
        self.config = FakeConfig()
        self.crashes = CrashTable(self.settings.routing.crash_limit)
        self.vms = FakeVmList()
        self.metrics = Metrics()
        self.timers = TimerService()
        self.sidecars: dict[str, FakeSidecar] = {}
        parts = EntryParts(
            config=self.config,
            crashes=self.crashes,
            vm_list=self.vms,
            timers=self.timers,
            metrics=self.metrics,
            add_to_server=lambda server, context: None,
        )
        self.daemon = EntryDaemon(self.settings, parts)
        self.daemon.start()

    def add_sidecar(self, name: str, **arguments: Any) -> FakeSidecar:
        service = arguments.pop("service", None)
        sidecar = FakeSidecar(name, tls=self.settings.tls, **arguments)
        self.sidecars[name] = sidecar
        extra = {} if service is None else {"service": service}
        self.config.add_upstream(name, sidecar.address, **extra)
        return sidecar

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection("127.0.0.1", self.daemon.http_port, timeout=WAIT_S)

    def call(
        self, method: str, path: str, body: Any = None, headers: Mapping[str, str] | None = None
    ) -> Response:
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        with contextlib.closing(self.connect()) as connection:
            connection.request(method, path, data, dict(headers or {}))
            response = connection.getresponse()
            return Response(response.status, response.headers, response.read())

    def complete(self, stream: bool = True, prompt: str = "a", **headers: str) -> Response:
        """Send a completion; underscores in header names become hyphens."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        body = {"model": MODEL, "prompt": prompt, "stream": stream}
        return self.call("POST", "/v1/completions", body, names)

    def stop(self) -> None:
        self.daemon.request_stop()
        assert self.daemon.wait(WAIT_S)
        for sidecar in self.sidecars.values():
            sidecar.stop()


@contextlib.contextmanager
def running_entry(settings: EntrySettings | None = None) -> Iterator[EntryHarness]:
    harness = EntryHarness(settings)
    try:
        yield harness
    finally:
        harness.stop()


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the timeout only keeps a failing test from hanging."""
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, "condition did not become true"
        time.sleep(0.005)
