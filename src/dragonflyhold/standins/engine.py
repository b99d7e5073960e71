"""Stand-in for a model engine with adapter slots."""

import collections
import dataclasses
import secrets
import threading
import time
import urllib.parse
from collections.abc import Mapping
from typing import Any, final

import urllib3

from dragonflyhold.standins.base import (
    DEFAULT_ADDRESS,
    Call,
    DropConnection,
    Response,
    StandIn,
    error_response,
    json_response,
)
from dragonflyhold.standins.engine_model import Batch, PrefixCache, Run, make_run

# Handler threads in addition to the batch, for queued runs, commands and status calls.
EXTRA_THREADS = 48
# Duration of a load if no weight store is configured.
LOAD_DURATION_S = 0.25
WEIGHTS_TIMEOUT_S = 120.0
MAX_JOURNAL_RUNS = 100_000
# Runs whose streams can be resumed; older ones are dropped.
MAX_RESUMABLE_RUNS = 512
POLL_S = 0.02
# A resumable run continues for this long while nobody reads its stream.
RESUME_WINDOW_S = 5.0
STOP_TIMEOUT_S = 5.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions:
    """Properties of an engine stand-in."""

    weights_url: str = ""
    slots: int = 8
    batch_limit: int = 32
    # Whether commands with an epoch below the highest one seen are refused.
    checks_fencing: bool = False
    # Rate of a single stream in an otherwise empty batch.
    tokens_per_s: float = 100.0
    # Time from a crash to the restart.
    restart_s: float = 1.0
    # Period after which the load in the status is refreshed.
    load_report_lag_s: float = 0.5


@final
@dataclasses.dataclass(slots=True)
class _Adapter:
    weights: str
    in_flight: int = 0
    is_loaded: bool = False


@final
class EngineStandIn(StandIn):
    """Serves completions with loaded adapters and records every run in a journal.

    Control: ``crash`` (true), ``silence`` (true: streams in progress send nothing more but stay
    open), ``fail_loads`` (number of subsequent loads that fail, -1: all) and ``tokens_per_s``.
    """

    name = "engine"

    def __init__(
        self, address: str = DEFAULT_ADDRESS, options: EngineOptions | None = None
    ) -> None:
        self._options = options or EngineOptions()
        super().__init__(address, threads=self._options.batch_limit + EXTRA_THREADS)
        self._batch = Batch(self._options.batch_limit, self._options.tokens_per_s)
        self._cache = PrefixCache()
        self._lock = threading.RLock()
        self._restart_lock = threading.Lock()
        self._is_stopped = False
        self._boot_id = secrets.token_hex(8)
        self._epoch = 0
        self._fail_loads = 0
        self._adapters: dict[str, _Adapter] = {}
        self._active_calls: set[Call] = set()
        self._journal: collections.deque[Run] = collections.deque(maxlen=MAX_JOURNAL_RUNS)
        self._runs: collections.OrderedDict[str, Run] = collections.OrderedDict()
        self._violations: list[str] = []
        self._load_report: dict[str, object] = {}
        self._load_report_at = 0.0
        self._weight_store = urllib3.PoolManager(maxsize=self._options.slots, retries=False)

    def stop(self) -> None:
        """Close the listener and all connections."""
        with self._restart_lock:
            self._is_stopped = True
            super().stop()
        self._weight_store.clear()

    def start(self) -> None:
        """Start to serve in background threads."""
        self._is_stopped = False
        super().start()

    def handle(self, call: Call) -> Response | None:
        """Serve completions, commands, status and the journal."""
        if call.path == "/v1/journal":
            return self._show_journal()
        with self._lock:
            self._active_calls.add(call)
        try:
            return self._dispatch(call)
        finally:
            with self._lock:
                self._active_calls.discard(call)

    def control(self, data: Mapping[str, Any]) -> object:
        """Crash, silence streams, fail loads, and set the token rate and faults."""
        if data.get("crash"):
            self.crash()
        if data.get("silence"):
            with self._lock:
                for run in self._runs.values():
                    run.silenced = run.state == "running"
        self._fail_loads = int(data.get("fail_loads", self._fail_loads))
        self._batch.tokens_per_s = float(data.get("tokens_per_s", self._batch.tokens_per_s))
        return super().control(data)

    def crash(self) -> None:
        """Drop all connections and adapters and restart with a new boot id.

        Connections are refused until the restart, as by a process that has exited. With a
        ``restart_s`` of 0, the restart is immediate.
        """
        with self._lock:
            self._boot_id = secrets.token_hex(8)
            self._epoch = 0
            self._adapters = {}
            self._cache.clear()
            for run in self._runs.values():
                if run.state == "running":
                    run.state = "crashed"
            calls = list(self._active_calls)
        for call in calls:
            call.drop()
        if self._options.restart_s:
            # In a separate thread, because the server joins its own threads when it stops.
            threading.Thread(target=self._restart, name="restart", daemon=True).start()

    def _restart(self) -> None:
        with self._restart_lock:
            if not self._is_stopped:
                super().stop()
        time.sleep(self._options.restart_s)
        with self._restart_lock:
            if not self._is_stopped and not self.is_listening:
                super().start()

    def _dispatch(self, call: Call) -> Response | None:
        match call.method, call.path:
            case "GET", "/v1/status":
                return self._show_status()
            case "GET", "/v1/cache_events":
                events = self._cache.events(int(call.query.get("since", 0)))
                return json_response({"events": events})
            case "GET", _ if call.path.startswith("/v1/streams/"):
                return self._resume(call)
            case "DELETE", _ if call.path.startswith("/v1/streams/"):
                return self._cancel_run(call)
            case "POST", "/v1/completions":
                return self._complete(call)
            case "POST", "/v1/load_lora_adapter":
                return self._refuse_stale_epoch(call) or self._load(call)
            case "POST", "/v1/unload_lora_adapter":
                return self._refuse_stale_epoch(call) or self._unload(call)
            case "POST", "/v1/fence":
                return self._refuse_stale_epoch(call) or json_response({"epoch": self._epoch})
            case "POST", "/v1/kv/export":
                data = call.json()
                blocks = self._cache.export_blocks(data["model"], data["prompt"])
                return Response(200, blocks, "application/octet-stream")
            case "POST", "/v1/kv/import":
                return json_response({"blocks": self._cache.import_blocks(call.body)})
        return error_response(404, "not_found", call.path)

    def _show_journal(self) -> Response:
        with self._lock:
            runs = [run.to_json() for run in self._journal]
            return json_response({"runs": runs, "violations": self._violations})

    def _show_status(self) -> Response:
        with self._lock:
            now = time.monotonic()
            if now - self._load_report_at >= self._options.load_report_lag_s:
                self._load_report_at = now
                running, waiting = self._batch.running, self._batch.waiting
                self._load_report = {"running": running, "waiting": waiting}
            loaded = {name: a for name, a in self._adapters.items() if a.is_loaded}
            status = {
                "boot_id": self._boot_id,
                "epoch": self._epoch,
                "adapters": [
                    {"name": name, "weights": a.weights, "in_flight": a.in_flight}
                    for name, a in loaded.items()
                ],
                "loading": [name for name in self._adapters if name not in loaded],
                "batch_limit": self._options.batch_limit,
                "slots": self._options.slots,
                "load": self._load_report,
                "cached_blocks": len(self._cache),
            }
        return json_response(status)

    def _refuse_stale_epoch(self, call: Call) -> Response | None:
        if not self._options.checks_fencing:
            return None
        epoch = int(call.header("X-Fencing-Epoch") or 0)
        with self._lock:
            if epoch < self._epoch:
                return error_response(409, "stale_epoch", f"the epoch is {self._epoch}")
            self._epoch = epoch
        return None

    def _load(self, call: Call) -> Response:
        data = call.json()
        name, path = str(data["lora_name"]), str(data["lora_path"])
        with self._lock:
            if name in self._adapters:
                return error_response(400, "already_loaded", name)
            if len(self._adapters) >= self._options.slots:
                return error_response(400, "no_free_slot", name)
            adapter = self._adapters[name] = _Adapter(path)
            boot_id = self._boot_id
            must_fail = self._fail_loads != 0
            self._fail_loads -= self._fail_loads > 0
        is_fetched = self._fetch_weights(path) and not must_fail
        with self._lock:
            if boot_id != self._boot_id:
                raise DropConnection
            if self._adapters.get(name) is not adapter:
                return error_response(409, "unloaded_while_loading", name)
            if not is_fetched:
                del self._adapters[name]
                return error_response(500, "load_failed", path)
            adapter.is_loaded = True
        return json_response({"lora_name": name})

    def _fetch_weights(self, path: str) -> bool:
        if not self._options.weights_url:
            self.pause(LOAD_DURATION_S)
            return True
        url = f"{self._options.weights_url}/v1/weights/{urllib.parse.quote(path, safe='')}"
        try:
            return self._weight_store.request("GET", url, timeout=WEIGHTS_TIMEOUT_S).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _unload(self, call: Call) -> Response:
        name = str(call.json()["lora_name"])
        with self._lock:
            adapter = self._adapters.pop(name, None)
            if adapter is None:
                return error_response(404, "unknown_adapter", name)
            if adapter.in_flight:
                self._violations.append(f"{name} unloaded with {adapter.in_flight} in flight")
        return json_response({"lora_name": name})

    def _complete(self, call: Call) -> Response | None:
        data = call.json()
        with self._lock:
            adapter = self._adapters.get(str(data["model"]))
            if adapter is None or not adapter.is_loaded:
                return error_response(404, "model_not_found", str(data["model"]))
            number = self._journal[-1].number + 1 if self._journal else 0
            request_id = call.header("X-Request-Id") or f"run-{number}"
            run = make_run(number, request_id, adapter.weights, self._boot_id, data)
            adapter.in_flight += 1
            self._journal.append(run)
            self._runs[request_id] = run
            while len(self._runs) > MAX_RESUMABLE_RUNS:
                self._runs.popitem(last=False)
        try:
            return self._execute(call, run, adapter, bool(data.get("stream")))
        finally:
            with self._lock:
                self._release_adapter(adapter, run)
                if run.state == "running":
                    run.state = "cancelled"

    def _release_adapter(self, adapter: _Adapter, run: Run) -> None:
        adapter.in_flight -= not run.has_left
        run.has_left = True

    def _execute(self, call: Call, run: Run, adapter: _Adapter, stream: bool) -> Response | None:
        if stream:
            call.start_stream("text/event-stream")
        if not self._batch.enter(run, lambda: self._must_stop(call, run)):
            raise DropConnection
        try:
            self.pause(self._cache.prefill_duration_s(run.weights, run.prompt))
            self._generate(call, run, stream)
        finally:
            self._batch.leave()
        with self._lock:
            if run.state != "running":
                raise DropConnection
            run.state = "done"
            # Released before the end is sent, so that the adapter is free once the caller sees it.
            self._release_adapter(adapter, run)
        if stream and run.silenced:
            while not call.is_disconnected() and not self._stopping.is_set():
                self.pause(POLL_S)
            raise DropConnection
        if stream:
            call.write(b"data: [DONE]\n\n")
            return None
        text = "".join(run.piece(index) for index in range(run.max_tokens))
        choice = {"index": 0, "text": text, "finish_reason": "length"}
        usage = {"completion_tokens": run.max_tokens}
        return json_response({"id": run.request_id, "choices": [choice], "usage": usage})

    def _generate(self, call: Call, run: Run, stream: bool) -> None:
        due = time.monotonic()
        for index in range(run.max_tokens):
            if run.crash_after == index:
                self.crash()
            due = max(due + self._batch.token_duration_s(), time.monotonic())
            self.pause(due - time.monotonic())
            while self.faults.frozen and not self._must_stop(call, run):
                self.pause(POLL_S)
            if self._must_stop(call, run):
                raise DropConnection
            run.produced = index + 1
            if stream and not run.silenced and not call.is_disconnected():
                call.write(run.event(index))

    def _must_stop(self, call: Call, run: Run) -> bool:
        now = time.monotonic()
        if not call.is_disconnected():
            run.read_at = now
        is_abandoned = now - run.read_at > (RESUME_WINDOW_S if run.resumable else 0.0)
        return is_abandoned or run.state != "running" or self._stopping.is_set()

    def _cancel_run(self, call: Call) -> Response:
        with self._lock:
            run = self._runs.get(call.key("/v1/streams/"))
            if run is None:
                return error_response(404, "unknown_stream")
            if run.state == "running":
                run.state = "cancelled"
        stop_deadline = time.monotonic() + STOP_TIMEOUT_S
        while not run.has_left and time.monotonic() < stop_deadline:
            self.pause(POLL_S)
        return json_response({}) if run.has_left else error_response(503, "still_running")

    def _resume(self, call: Call) -> Response | None:
        with self._lock:
            run = self._runs.get(call.key("/v1/streams/"))
        if run is None:
            return error_response(404, "unknown_stream")
        call.start_stream("text/event-stream")
        index = int(call.query.get("offset", 0))
        while True:
            # Read before the pieces, so that none is missed if the run ends in between.
            state = run.state
            run.read_at = time.monotonic()
            while index < run.produced:
                call.write(run.event(index))
                index += 1
            if state != "running" or self._stopping.is_set():
                break
            self.pause(POLL_S)
        if state != "done":
            raise DropConnection
        call.write(b"data: [DONE]\n\n")
        return None
