"""Measures memory per row, time per decision and bytes per message, most at three or more sizes.

``docs/CAPACITY.md`` derives the cost of each role from these slopes.
"""

import dataclasses
import importlib
import multiprocessing
import pathlib
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, final

from dragonflyhold.adapters import (
    LoadBackoff,
    LoadBroker,
    LoadRequest,
    Popularity,
    SlotTable,
    WaitingAdapter,
    plan_slots,
)
from dragonflyhold.config.objects import Upstream
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    CallerId,
    DataCentre,
    EngineAdapterName,
    Fingerprint,
    Incarnation,
    RequestId,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.requests.inflight import InflightRequest, InflightTable
from dragonflyhold.routing import LoadSnapshot, RouteRequest, UpstreamTable, choose_upstream
from dragonflyhold.settings.model import LoadBudgetSettings, RoutingSettings, SlotSettings
from dragonflyhold.states import UpstreamState
from dragonflyhold.transport.schema import broker_pb2, operator_pb2, sidecar_pb2

SERVICE = ServiceName("kernel-assist")
INCARNATION = Incarnation("0123456789abcdef")
CALLS_PER_ROUND = 300
TIMED_ROUNDS = 5


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """One quantity measured at one or more sizes."""

    name: str
    unit: str
    # Unit of the sizes.
    per: str
    points: tuple[tuple[int, float], ...]

    @property
    def slope(self) -> float:
        """Least-squares slope of the values over the sizes."""
        sizes = [size for size, _ in self.points]
        values = [value for _, value in self.points]
        return statistics.linear_regression(sizes, values).slope


def measure_all() -> list[Series]:
    """Run every measurement, which takes about a minute."""
    return [
        *_measure_imports(),
        *measure_rows(),
        _measure_catalogue(),
        _measure_routing("time of a routing decision, cold adapter", resident=False),
        _measure_routing("time of a routing decision, all upstreams busy", False, in_flight=20),
        _measure_routing("time of a routing decision, adapter resident elsewhere", resident=True),
        *(_measure_slot_plans(slots) for slots in (8, 16, 64)),
        _measure_broker(),
        measure_heartbeats(),
        _measure_acquire_messages(),
        _measure_compare_messages(),
    ]


def format_series(series: Sequence[Series]) -> str:
    """Return one line per series."""
    lines = []
    for item in series:
        points = ", ".join(f"{size}: {value:,.1f}" for size, value in item.points)
        slope = f"{item.slope:,.3f} {item.unit} per {item.per}" if len(item.points) > 1 else ""
        lines.append(f"{item.name} [{item.unit}] {points}  {slope}".rstrip())
    return "\n".join(lines)


def to_json(series: Sequence[Series]) -> list[dict[str, Any]]:
    """Return the series as JSON values."""
    return [
        {
            "name": item.name,
            "unit": item.unit,
            "per": item.per,
            "points": [list(point) for point in item.points],
            "slope": item.slope if len(item.points) > 1 else None,
        }
        for item in series
    ]


def _measure_imports() -> list[Series]:
    series = []
    for module in ("dragonflyhold.entry", "dragonflyhold.sidecar", "dragonflyhold.adapters"):
        context = multiprocessing.get_context("spawn")
        with context.Pool(1) as pool:
            rss = pool.apply(_rss_after_import, (module,))
        series.append(Series(f"resident memory after import of {module}", "MB", "", ((1, rss),)))
    return series


def _rss_after_import(module: str) -> float:
    package = importlib.import_module(module)
    for path in pathlib.Path(package.__path__[0]).glob("*.py"):
        if path.stem not in ("__init__", "__main__"):
            importlib.import_module(f"{module}.{path.stem}")
    status = pathlib.Path("/proc/self/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


def measure_rows() -> list[Series]:
    """Measure the memory per row of each table."""
    return [
        _measure_memory("popularity", "entry", (500, 2000, 8000), _make_popularity),
        _measure_memory("upstream table", "upstream", (10, 100, 600), _make_table),
        _measure_memory("rankings of routed adapters", "adapter", (100, 500, 2000), _make_rankings),
        _measure_memory("in-flight table", "request", (100, 500, 2000), _make_inflight),
        _measure_memory("slot table", "slot", (8, 16, 64, 256), _make_slots),
        _measure_memory("broker", "wish", (100, 500, 2000), _make_broker),
    ]


def _measure_memory(
    name: str, per: str, sizes: Sequence[int], make: Callable[[int], object]
) -> Series:
    points = []
    for size in sizes:
        make(1)
        tracemalloc.start()
        structure = make(size)
        points.append((size, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del structure
    return Series(f"memory of the {name}", "bytes", per, tuple(points))


def _measure_catalogue() -> Series:
    try:
        module = importlib.import_module("dragonflyhold.config.catalogue")
    except ImportError:
        return Series("memory of the catalogue (not in this version)", "bytes", "adapter", ())

    def make(size: int) -> object:
        writes = {}
        # Random names and paths: regular ones compress far better than real ones.
        rng = random.Random(1)
        for number in range(size):
            name = f"adapter-{rng.randbytes(4).hex()}"
            writes[module.CatalogueKey(SERVICE, name)] = module.Record("", number)
            path = f"{SERVICE}/{rng.randbytes(16).hex()}.safetensors"
            writes[module.CatalogueKey(SERVICE, name, 1)] = module.Record(path, number)
        return module.Catalogue().with_writes(writes)

    return _measure_memory("catalogue", "adapter with one version", (2000, 8000, 32_000), make)


def _key(number: int) -> AdapterKey:
    return AdapterKey(SERVICE, AdapterName(f"adapter-{number:06d}"), Version(1))


def _make_popularity(size: int) -> Popularity:
    popularity: Popularity[AdapterKey] = Popularity(120.0)
    for number in range(size):
        popularity.record(_key(number), 1000.0)
    return popularity


def _make_upstreams(size: int) -> list[Upstream]:
    return [
        Upstream(
            name=UpstreamName(f"{SERVICE}-{number:04d}"),
            service=SERVICE,
            data_centre=DataCentre("nz-north-a"),
            sidecar_address=f"10.0.{number // 250}.{number % 250}:7001",
        )
        for number in range(size)
    ]


def _make_table(size: int, in_flight: int = 0) -> UpstreamTable:
    table = UpstreamTable(RoutingSettings())
    table.sync(_make_upstreams(size), 1000.0)
    for number, row in enumerate(table.rows(SERVICE)):
        resident = tuple(_key(number * 8 + slot) for slot in range(8))
        load = LoadSnapshot(in_flight + number % 7, 0, 32, 8, resident)
        table.record_report(row.config.name, INCARNATION, UpstreamState.ACTIVE, load, 1000.0)
    return table


def _make_rankings(size: int) -> UpstreamTable:
    table = _make_table(100)
    for number in range(size):
        table.ranking(SERVICE, number * 2**40 + 1)
    return table


def _make_inflight(size: int) -> InflightTable:
    table = InflightTable()
    for number in range(size):
        request_id = RequestId(f"{SERVICE}-0001.{INCARNATION}.{number}")
        fingerprint = Fingerprint(number.to_bytes(32, "big"))
        row = InflightRequest(
            request_id,
            _key(number),
            CallerId(f"caller-{number}"),
            fingerprint,
            False,
            True,
            number % 8,
            1000.0,
            1003.0,
        )
        table.add(row)
    return table


def _make_slots(size: int) -> SlotTable:
    slots = SlotTable(size)
    for index in range(size):
        name = EngineAdapterName(f"adapter-{index:06d}-1-17-{index}")
        slots.adopt(index, _key(index), name, 0, 1000.0)
    return slots


def _make_broker(size: int) -> LoadBroker:
    broker = LoadBroker(LoadBudgetSettings())
    for number in range(0, size, 4):
        load_requests = [
            LoadRequest(n, str(_key(n)), 1.0 + n % 9) for n in range(number, number + 4)
        ]
        broker.acquire(UpstreamName(f"u{number}"), INCARNATION, load_requests, 1000.0)
    return broker


def _time_us(call: Callable[[int], object]) -> float:
    """Return the mean time of a call in microseconds, as the median over several rounds."""
    rounds = []
    for _ in range(TIMED_ROUNDS):
        start = time.perf_counter()
        for number in range(CALLS_PER_ROUND):
            call(number)
        rounds.append((time.perf_counter() - start) / CALLS_PER_ROUND * 1e6)
    return statistics.median(rounds)


def _measure_routing(name: str, resident: bool, in_flight: int = 0) -> Series:
    points = []
    settings = RoutingSettings()
    rng = random.Random(1)
    for size in (5, 50, 150, 600):
        table = _make_table(size, in_flight)
        # The first 8 adapters per upstream are resident, see _make_table.
        first = 0 if resident else 10**6

        def call(number: int, table: UpstreamTable = table, first: int = first) -> object:
            key = _key(first + number % 40)
            request = RouteRequest(SERVICE, key, Fingerprint(b"f"), False, False, frozenset())
            return choose_upstream(request, table, 1000.0, settings, rng)

        points.append((size, _time_us(call)))
    return Series(name, "us", "upstream", tuple(points))


def _measure_slot_plans(slots: int) -> Series:
    points = []
    settings = SlotSettings()
    popularity = _make_popularity(1000)
    backoff = LoadBackoff(settings, random.Random(1))
    table = _make_slots(slots)
    for size in (10, 100, 1000):
        waiting = [WaitingAdapter(_key(500 + n), 1, 1.0 + n % 7, 0.1 * n) for n in range(size)]

        def call(number: int, waiting: list[WaitingAdapter] = waiting) -> object:
            del number
            return plan_slots(table, waiting, popularity, backoff, 1000.0, settings)

        points.append((size, _time_us(call)))
    return Series(f"time of plan_slots with {slots} slots", "us", "waiting adapter", tuple(points))


def _measure_broker() -> Series:
    points = []
    for size in (10, 100, 600):
        broker = _make_broker(4 * size)

        def call(number: int, broker: LoadBroker = broker, size: int = size) -> object:
            first_number = 4 * (number % size)
            load_requests = [
                LoadRequest(n, str(_key(n)), 1.0 + n % 9)
                for n in range(first_number, first_number + 4)
            ]
            return broker.acquire(
                UpstreamName(f"u{first_number}"), INCARNATION, load_requests, 1000.0
            )

        points.append((size, _time_us(call)))
    return Series("time of a broker call with 4 wishes each", "us", "upstream", tuple(points))


def measure_heartbeats() -> Series:
    """Measure the size of a frame that contains only a sidecar heartbeat."""
    points = []
    for size in (0, 8, 16, 64):
        load = sidecar_pb2.LoadReport(in_flight=20, queued=5, batch_limit=32, slots=size)
        for number in range(size):
            load.resident.add(service=SERVICE, adapter=_key(number).adapter, version=1)
        frame = sidecar_pb2.SidecarFrame(config_revision=100_000)
        heartbeat = frame.items.add().heartbeat
        heartbeat.number = 100_000
        heartbeat.upstream = f"{SERVICE}-0001"
        heartbeat.incarnation = INCARNATION
        heartbeat.state = sidecar_pb2.UPSTREAM_STATE_ACTIVE
        heartbeat.load.CopyFrom(load)
        points.append((size, float(frame.ByteSize())))
    return Series("bytes of a sidecar heartbeat", "bytes", "resident adapter", tuple(points))


def _measure_acquire_messages() -> Series:
    points = []
    for size in (1, 4, 8):
        request = broker_pb2.AcquireRequest(upstream=f"{SERVICE}-0001", incarnation=INCARNATION)
        for number in range(size):
            request.wishes.add(number=10_000 + number, adapter=str(_key(number)), worth=10.0)
        points.append((size, float(request.ByteSize())))
    return Series("bytes of an Acquire message", "bytes", "wish", tuple(points))


def _measure_compare_messages() -> Series:
    points = []
    for size in (0, 8, 32):
        request = operator_pb2.CompareRequest(
            daemon=f"{SERVICE}-0001", revision=100_000, age_ms=900, address="10.0.0.1:7001"
        )
        request.data_centre = "nz-north-a"
        for number in range(8):
            request.contacts.add(data_centre=f"nz-north-{number}", age_ms=900)
        for number in range(size):
            request.crashes.add(fingerprint=number.to_bytes(32, "big"), crashes=1)
        points.append((size, float(request.ByteSize())))
    return Series("bytes of a Compare message", "bytes", "crash report", tuple(points))
