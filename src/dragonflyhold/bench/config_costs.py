"""Measures memory, processor time and bytes for storing and distributing the configuration.

Run with ``python -m dragonflyhold.bench.config_costs``; memory is measured with ``tracemalloc``,
and processor time is that of this process.
"""

import functools
import gc
import hashlib
import random
import socket
import statistics
import threading
import time
import tracemalloc
import zlib
from collections.abc import Callable, Iterator
from typing import Any

from dragonflyhold.config.catalogue import Catalogue, CatalogueKey, Record
from dragonflyhold.config.codec import to_message
from dragonflyhold.config.deltas import Delta, DeltaHistory
from dragonflyhold.config.exchange import fetch_chunks, read_chunks
from dragonflyhold.config.grpc_peers import GrpcPeerClient
from dragonflyhold.config.objects import AdapterVersion, ObjectKey, StoredObject, Upstream, key_of
from dragonflyhold.config.peers import DaemonIdentity
from dragonflyhold.config.replica import ConfigReplica
from dragonflyhold.config.service import ConfigService
from dragonflyhold.config.snapshot import decode_snapshot, encode_snapshot
from dragonflyhold.config.state import ConfigState
from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    DataCentre,
    Fingerprint,
    Incarnation,
    Region,
    Revision,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.observability import Metrics
from dragonflyhold.requests.crashes import CrashReport
from dragonflyhold.settings import ConfigSettings, TlsSettings
from dragonflyhold.storage.interface import Row
from dragonflyhold.timers import TimerService
from dragonflyhold.transport.grpc_endpoints import bind_server, make_server
from dragonflyhold.transport.schema import operator_pb2 as pb

SEED = 1
SIZES = (3_000, 30_000, 150_000, 300_000)
CHANGES_PER_DAY = 270
UPSTREAMS = 600
DATA_CENTRES = 8
COMPARE_CALLS = 500
IDLE_S = 20.0
SERVICE = ServiceName("tapster-lm")


def main() -> None:
    """Print all tables."""
    measure_catalogue()
    measure_catch_up()
    measure_compare()
    measure_idle()


def measure_catalogue() -> None:
    """Print memory per record, look-up and write times and snapshot costs at several sizes."""
    print("catalogue: one record for each (adapter, version)")
    print("records  packed B/record  dict B/record  look-up us  write us  snapshot MB  decode s")
    for size in SIZES:
        rng = random.Random(SEED)
        records = dict(_records(size))
        packed, catalogue = _memory_of(functools.partial(Catalogue().with_writes, records))
        objects, _ = _memory_of(functools.partial(_object_dict, size))
        keys = rng.sample(list(records), 2_000)
        lookup_us = _time_each(catalogue.get, keys)
        write_us = _time_each(functools.partial(_write_record, catalogue), keys[:200])
        data = encode_snapshot(ConfigState(Revision(1), {}, catalogue))
        started = time.process_time()
        decode_snapshot(data)
        decode_s = time.process_time() - started
        print(
            f"{size:7}  {packed / size:15.1f}  {objects / size:13.1f}  {lookup_us:10.1f}"
            f"  {write_us:8.1f}  {len(data) / 1e6:11.2f}  {decode_s:8.3f}"
        )


def measure_catch_up() -> None:
    """Print bytes and processor time of methods to catch up after an outage."""
    print("\ncatch up: sender and receiver together")
    print("adapters  away  changes  way              bytes       ms")
    for size in (3_000, 150_000):
        base = _state(size)
        for outage, count in (("5 min", 1), ("1 h", 11), ("1 day", CHANGES_PER_DAY)):
            state, history, changes = _apply_changes(base, count)
            methods: list[tuple[str, Callable[[], int]]] = [
                ("merged delta", functools.partial(_send_delta, state, history, base)),
                ("change log", functools.partial(_send_change_log, changes, base)),
                ("snapshot", functools.partial(_send_snapshot, state)),
            ]
            for method, send in methods:
                times = []
                for _ in range(5):
                    started = time.process_time()
                    sent = send()
                    times.append((time.process_time() - started) * 1000)
                milliseconds = statistics.median(times)
                print(f"{size:8}  {outage:5} {count:7}  {method:13} {sent:9} {milliseconds:9.2f}")


def measure_compare() -> None:
    """Print bytes and processor time of one Compare call, client and server together."""
    print("\ncompare: request and reply, both daemons together (no TLS)")
    print("connection  crash reports  bytes  processor ms")
    for reports in (0, 32):
        for connection in ("kept", "new"):
            bytes_per_call, ms_per_call = _compare_cost(reports, connection == "new")
            print(f"{connection:10}  {reports:13}  {bytes_per_call:5.0f}  {ms_per_call:12.2f}")


def measure_idle() -> None:
    """Print the processor time of a daemon without changes, at one Compare call per second."""
    client, server = _ConfigNode("client", 0), _ConfigNode("server", 0)
    state = _state(150_000).with_writes(_upstreams(server.port), Revision(2))
    for node in (client, server):
        node.replica.install_snapshot(state)
    started, wall_started = time.process_time(), time.monotonic()
    client.start()
    server.start()
    time.sleep(IDLE_S)
    cpu_share = (time.process_time() - started) / (time.monotonic() - wall_started)
    processes = client.replica.processes()
    client.stop()
    server.stop()
    print(f"\nno changes, {processes} daemons known, {IDLE_S:g} s, table out, two daemons here")
    print(f"processor share of one daemon: {cpu_share / 2:.2%} of a core")


def _records(count: int) -> Iterator[tuple[CatalogueKey, Record]]:
    for number in range(count):
        name, version, weights = _version_fields(number)
        yield CatalogueKey(SERVICE, name, version), Record(weights, number // 100 + 1)


def _object_dict(count: int) -> dict[ObjectKey, StoredObject]:
    stored = (_stored_version(number, number // 100 + 1) for number in range(count))
    return {key_of(item.object): item for item in stored}


def _write_record(catalogue: Catalogue, key: CatalogueKey) -> Catalogue:
    return catalogue.with_writes({key: Record("w", 2)})


def _version_fields(number: int) -> tuple[str, int, str]:
    """Return an adapter name with an incompressible part, a version and a weights path."""
    digest = hashlib.sha256(b"%d" % number).hexdigest()
    name = f"customer-{digest[:8]}"
    return name, number % 7 + 1, f"weights/{name}/{number % 7 + 1}/adapter.safetensors"


def _stored_version(number: int, revision: int) -> StoredObject:
    name, version, weights = _version_fields(number)
    key = AdapterKey(SERVICE, AdapterName(name), Version(version))
    return StoredObject(AdapterVersion(key=key, weights=weights), Revision(revision))


def _state(count: int) -> ConfigState:
    return ConfigState(Revision(1), {}, Catalogue().with_writes(dict(_records(count))))


def _upstreams(port: int) -> dict[ObjectKey, StoredObject | None]:
    writes: dict[ObjectKey, StoredObject | None] = {}
    for number in range(UPSTREAMS):
        value = Upstream(
            name=UpstreamName(f"runner-{number}"),
            service=SERVICE,
            data_centre=DataCentre(f"dc-{number % DATA_CENTRES}"),
            # All addresses in 127/8 reach this host, so one server can act as many peers.
            sidecar_address=f"127.0.{number // 250 + 1}.{number % 250 + 1}:{port}",
        )
        writes[key_of(value)] = StoredObject(value, Revision(2))
    return writes


def _apply_changes(
    base: ConfigState, count: int
) -> tuple[ConfigState, DeltaHistory, list[pb.ChangeRequest]]:
    """Return the state, history and requests of changes, some of which write the same object."""
    state, history, changes = base, DeltaHistory(base.revision), []
    rng = random.Random(SEED)
    for number in range(count):
        stored = _stored_version(1_000_000 + rng.randrange(max(count // 2, 1)), state.revision + 1)
        request = pb.ChangeRequest(change_id=f"operator-{number:016x}", author="operator")
        request.operations.add(put=to_message(stored.object))
        changes.append(request)
        revision = Revision(state.revision + 1)
        history.record([(key_of(stored.object), revision)])
        state = state.with_writes({key_of(stored.object): stored}, revision)
    return state, history, changes


def _send_delta(state: ConfigState, history: DeltaHistory, base: ConfigState) -> int:
    delta = history.since(base.revision, state)
    payloads = [chunk.SerializeToString() for chunk in fetch_chunks(delta, state)]
    received = read_chunks(map(pb.FetchChunk.FromString, payloads), base.revision)
    match received:
        case Delta():
            base.with_writes(received.writes, received.revision)
    return sum(map(len, payloads))


def _send_change_log(changes: list[pb.ChangeRequest], base: ConfigState) -> int:
    payloads = [zlib.compress(change.SerializeToString()) for change in changes]
    state = base
    for data in payloads:
        request = pb.ChangeRequest.FromString(zlib.decompress(data))
        revision = Revision(state.revision + 1)
        for operation in request.operations:
            version = operation.put.version
            key = AdapterKey(SERVICE, AdapterName(version.adapter), Version(version.version))
            stored = StoredObject(AdapterVersion(key=key, weights=version.weights), revision)
            state = state.with_writes({key_of(stored.object): stored}, revision)
    return sum(map(len, payloads))


def _send_snapshot(state: ConfigState) -> int:
    payloads = [chunk.SerializeToString() for chunk in fetch_chunks(None, state)]
    read_chunks(map(pb.FetchChunk.FromString, payloads), Revision(0))
    return sum(map(len, payloads))


def _compare_cost(reports: int, reconnects: bool) -> tuple[float, float]:
    server = _ConfigNode("server", reports)
    replica = _ConfigNode("client", reports).replica
    with _CountingProxy(server.port) as proxy:
        times = []
        for address in (proxy.address, f"127.0.0.1:{server.port}"):
            peers = GrpcPeerClient(TlsSettings())
            peers.compare(address, replica.compare_request(time.monotonic()), 5.0)
            proxy.reset()
            started = time.process_time()
            for _ in range(COMPARE_CALLS):
                if reconnects:
                    peers.close()
                    peers = GrpcPeerClient(TlsSettings())
                request = replica.compare_request(time.monotonic())
                replica.record_reply(address, 0.0, peers.compare(address, request, 5.0))
            times.append((time.process_time() - started) * 1000 / COMPARE_CALLS)
            if address == proxy.address:
                # The last bytes of a closed connection may not have been counted yet.
                time.sleep(0.2)
                bytes_per_call = proxy.total / COMPARE_CALLS
            peers.close()
    server.stop()
    return bytes_per_call, times[1]


class _FixedCrashReports:
    def __init__(self, count: int) -> None:
        digests = [hashlib.sha256(b"%d" % number).digest() for number in range(count)]
        self._reports = [CrashReport(Fingerprint(digest), 2, False) for digest in digests]

    def reports(self) -> list[CrashReport]:
        return self._reports

    def merge(self, reports: Any) -> None:
        pass

    def subscribe(self, on_change: Any) -> None:
        pass


class _UnavailablePlatform:
    """Table and object store that are always unavailable."""

    def read(self, key: str) -> Row | None:
        raise PlatformUnavailableError(key)

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> list[Row]:
        raise PlatformUnavailableError(prefix)

    def write(self, conditions: Any, puts: Any) -> None:
        raise PlatformUnavailableError("write")

    def get(self, key: str) -> bytes | None:
        raise PlatformUnavailableError(key)

    def put(self, key: str, data: bytes) -> None:
        raise PlatformUnavailableError(key)


class _ConfigNode:
    """Configuration service with its gRPC server."""

    def __init__(self, name: str, reports: int) -> None:
        tls = TlsSettings()
        self._server = make_server(4)
        self.port = bind_server(self._server, "0.0.0.0:0", tls)
        identity = DaemonIdentity(
            name,
            Region("almaty"),
            DataCentre("dc-0"),
            f"127.0.0.1:{self.port}",
            Incarnation("0" * 16),
        )
        self._timers = TimerService()
        self._service = ConfigService(
            ConfigSettings(),
            identity,
            _UnavailablePlatform(),
            _UnavailablePlatform(),
            tls,
            self._timers,
            Metrics(),
            _FixedCrashReports(reports),
        )
        self.replica: ConfigReplica = self._service.replica
        self._service.add_to_server(self._server)
        self._server.start()

    def start(self) -> None:
        self._service.start()
        self._timers.start()

    def stop(self) -> None:
        self._timers.stop()
        self._service.stop()
        self._server.stop(None).wait()


class _CountingProxy:
    """Forwards connections to a port and counts the bytes in both directions."""

    def __init__(self, port: int) -> None:
        self._target = ("127.0.0.1", port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._lock = threading.Lock()
        self.total = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def reset(self) -> None:
        with self._lock:
            self.total = 0

    def __enter__(self) -> "_CountingProxy":
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            server = socket.create_connection(self._target)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                with self._lock:
                    self.total += len(data)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            for end in (source, sink):
                end.close()


def _memory_of(make: Callable[[], Any]) -> tuple[int, Any]:
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory_bytes, value


def _time_each(call: Callable[[Any], object], values: list[Any]) -> float:
    """Return the mean processor time of a call in microseconds."""
    started = time.process_time()
    for value in values:
        call(value)
    return (time.process_time() - started) * 1e6 / len(values)


if __name__ == "__main__":
    main()
