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
    Reply,
    StandIn,
    error_reply,
    json_reply,
)
from dragonflyhold.standins.engine_model import Batch, PrefixCache, Run, make_run

# Handler threads beyond the batch: waiting runs, orders and status calls.
SPARE_THREADS = 48
# Time of a load without a weight store.
LOAD_S = 0.25
WEIGHTS_TIMEOUT_S = 120.0
MAX_JOURNAL = 100_000
# Ended runs whose streams can still be resumed.
MAX_RESUMABLE = 512
SILENT_STEP_S = 0.02
# A resumable run that nobody reads goes on for this long.
RESUME_WINDOW_S = 5.0
STOP_TIMEOUT_S = 5.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions:
    """Properties of an engine stand-in."""

    weights_url: str = ""
    slots: int = 8
    batch_limit: int = 32
    # Whether orders with an epoch below the highest one seen are refused.
    checks_fencing: bool = False
    # Of one stream that has the batch for itself.
    tokens_per_s: float = 100.0
    restart_s: float = 1.0
    load_report_lag_s: float = 0.5


@final
@dataclasses.dataclass(slots=True)
class _Adapter:
    weights: str
    in_flight: int = 0
    is_loaded: bool = False


@final
class EngineStandIn(StandIn):
    """Serves completions of loaded adapters and journals every run.

    Control: ``crash`` (true), ``silence`` (true: streams in progress go silent for good),
    ``fail_loads`` (number of coming loads that fail, -1: all) and ``tokens_per_s``.
    """

    name = "engine"

    def __init__(
        self, address: str = DEFAULT_ADDRESS, options: EngineOptions | None = None
    ) -> None:
        self._options = options or EngineOptions()
        super().__init__(address, threads=self._options.batch_limit + SPARE_THREADS)
        self._batch = Batch(self._options.batch_limit, self._options.tokens_per_s)
        self._cache = PrefixCache()
        self._lock = threading.RLock()
        self._restart_lock = threading.Lock()
        self._is_ended = False
        self._boot_id = secrets.token_hex(8)
        self._epoch = 0
        self._fail_loads = 0
        self._adapters: dict[str, _Adapter] = {}
        self._calls: set[Call] = set()
        self._journal: collections.deque[Run] = collections.deque(maxlen=MAX_JOURNAL)
        self._runs: collections.OrderedDict[str, Run] = collections.OrderedDict()
        self._violations: list[str] = []
        self._load_report: dict[str, object] = {}
        self._load_report_at = 0.0
        self._weights = urllib3.PoolManager(maxsize=self._options.slots, retries=False)

    def stop(self) -> None:
        """Close the listener and all connections."""
        with self._restart_lock:
            self._is_ended = True
            super().stop()
        self._weights.clear()

    def start(self) -> None:
        """Listen and serve from other threads."""
        self._is_ended = False
        super().start()

    def handle(self, call: Call) -> Reply | None:
        """Serve completions, orders, status and the journal."""
        if call.path == "/v1/journal":
            return self._show_journal()
        with self._lock:
            self._calls.add(call)
        try:
            return self._dispatch(call)
        finally:
            with self._lock:
                self._calls.discard(call)

    def control(self, data: Mapping[str, Any]) -> object:
        """Crash, silence streams, fail loads, set the token rate and faults."""
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
        """Drop all connections, empty the slots and come back with a new boot id.

        Until then connections are refused, as they are when a process is gone. With
        ``restart_s`` 0 it is back at once.
        """
        with self._lock:
            self._boot_id = secrets.token_hex(8)
            self._epoch = 0
            self._adapters = {}
            self._cache.clear()
            for run in self._runs.values():
                if run.state == "running":
                    run.state = "crashed"
            calls = list(self._calls)
        for call in calls:
            call.drop()
        if self._options.restart_s:
            # Not from a thread of the server, which waits for its threads when it stops.
            threading.Thread(target=self._restart, name="restart", daemon=True).start()

    def _restart(self) -> None:
        with self._restart_lock:
            if not self._is_ended:
                super().stop()
        time.sleep(self._options.restart_s)
        with self._restart_lock:
            if not self._is_ended and not self.is_listening:
                super().start()

    def _dispatch(self, call: Call) -> Reply | None:
        match call.method, call.path:
            case "GET", "/v1/status":
                return self._show_status()
            case "GET", "/v1/cache_events":
                events = self._cache.events(int(call.query.get("since", 0)))
                return json_reply({"events": events})
            case "GET", _ if call.path.startswith("/v1/streams/"):
                return self._resume(call)
            case "DELETE", _ if call.path.startswith("/v1/streams/"):
                return self._stop_run(call)
            case "POST", "/v1/completions":
                return self._complete(call)
            case "POST", "/v1/load_lora_adapter":
                return self._refuse_stale(call) or self._load(call)
            case "POST", "/v1/unload_lora_adapter":
                return self._refuse_stale(call) or self._unload(call)
            case "POST", "/v1/fence":
                return self._refuse_stale(call) or json_reply({"epoch": self._epoch})
            case "POST", "/v1/kv/export":
                data = call.json()
                blocks = self._cache.export_blocks(data["model"], data["prompt"])
                return Reply(200, blocks, "application/octet-stream")
            case "POST", "/v1/kv/import":
                return json_reply({"blocks": self._cache.import_blocks(call.body)})
        return error_reply(404, "not_found", call.path)

    def _show_journal(self) -> Reply:
        with self._lock:
            runs = [run.to_json() for run in self._journal]
            return json_reply({"runs": runs, "violations": self._violations})

    def _show_status(self) -> Reply:
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
        return json_reply(status)

    def _refuse_stale(self, call: Call) -> Reply | None:
        if not self._options.checks_fencing:
            return None
        epoch = int(call.header("X-Fencing-Epoch") or 0)
        with self._lock:
            if epoch < self._epoch:
                return error_reply(409, "stale_epoch", f"the epoch is {self._epoch}")
            self._epoch = epoch
        return None

    def _load(self, call: Call) -> Reply:
        data = call.json()
        name, path = str(data["lora_name"]), str(data["lora_path"])
        with self._lock:
            if name in self._adapters:
                return error_reply(400, "already_loaded", name)
            if len(self._adapters) >= self._options.slots:
                return error_reply(400, "no_free_slot", name)
            adapter = self._adapters[name] = _Adapter(path)
            boot_id = self._boot_id
            fails = self._fail_loads != 0
            self._fail_loads -= self._fail_loads > 0
        fetched = self._fetch(path) and not fails
        with self._lock:
            if boot_id != self._boot_id:
                raise DropConnection
            if self._adapters.get(name) is not adapter:
                return error_reply(409, "unloaded_while_loading", name)
            if not fetched:
                del self._adapters[name]
                return error_reply(500, "load_failed", path)
            adapter.is_loaded = True
        return json_reply({"lora_name": name})

    def _fetch(self, path: str) -> bool:
        if not self._options.weights_url:
            self.pause(LOAD_S)
            return True
        url = f"{self._options.weights_url}/v1/weights/{urllib.parse.quote(path, safe='')}"
        try:
            return self._weights.request("GET", url, timeout=WEIGHTS_TIMEOUT_S).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _unload(self, call: Call) -> Reply:
        name = str(call.json()["lora_name"])
        with self._lock:
            adapter = self._adapters.pop(name, None)
            if adapter is None:
                return error_reply(404, "unknown_adapter", name)
            if adapter.in_flight:
                self._violations.append(f"{name} unloaded with {adapter.in_flight} in flight")
        return json_reply({"lora_name": name})

    def _complete(self, call: Call) -> Reply | None:
        data = call.json()
        with self._lock:
            adapter = self._adapters.get(str(data["model"]))
            if adapter is None or not adapter.is_loaded:
                return error_reply(404, "model_not_found", str(data["model"]))
            number = self._journal[-1].number + 1 if self._journal else 0
            request_id = call.header("X-Request-Id") or f"run-{number}"
            run = make_run(number, request_id, adapter.weights, self._boot_id, data)
            adapter.in_flight += 1
            self._journal.append(run)
            self._runs[request_id] = run
            while len(self._runs) > MAX_RESUMABLE:
                self._runs.popitem(last=False)
        try:
            return self._execute(call, run, adapter, bool(data.get("stream")))
        finally:
            with self._lock:
                self._leave(adapter, run)
                if run.state == "running":
                    run.state = "cancelled"

    def _leave(self, adapter: _Adapter, run: Run) -> None:
        adapter.in_flight -= not run.has_left
        run.has_left = True

    def _execute(self, call: Call, run: Run, adapter: _Adapter, stream: bool) -> Reply | None:
        if stream:
            call.start_stream("text/event-stream")
        if not self._batch.enter(run, lambda: self._is_over(call, run)):
            raise DropConnection
        try:
            self.pause(self._cache.prefill_s(run.weights, run.prompt))
            self._generate(call, run, stream)
        finally:
            self._batch.leave()
        with self._lock:
            if run.state != "running":
                raise DropConnection
            run.state = "done"
            # The adapter is free before the end is told.
            self._leave(adapter, run)
        if stream and run.silenced:
            while not call.is_disconnected() and not self._stopping.is_set():
                self.pause(SILENT_STEP_S)
            raise DropConnection
        if stream:
            call.write(b"data: [DONE]\n\n")
            return None
        text = "".join(run.piece(index) for index in range(run.max_tokens))
        choice = {"index": 0, "text": text, "finish_reason": "length"}
        usage = {"completion_tokens": run.max_tokens}
        return json_reply({"id": run.request_id, "choices": [choice], "usage": usage})

    def _generate(self, call: Call, run: Run, stream: bool) -> None:
        due = time.monotonic()
        for index in range(run.max_tokens):
            if run.crash_after == index:
                self.crash()
            due = max(due + self._batch.token_s(), time.monotonic())
            self.pause(due - time.monotonic())
            while self.faults.frozen and not self._is_over(call, run):
                self.pause(SILENT_STEP_S)
            if self._is_over(call, run):
                raise DropConnection
            run.produced = index + 1
            if stream and not run.silenced and not call.is_disconnected():
                call.write(run.event(index))

    def _is_over(self, call: Call, run: Run) -> bool:
        now = time.monotonic()
        if not call.is_disconnected():
            run.read_at = now
        is_gone = now - run.read_at > (RESUME_WINDOW_S if run.resumable else 0.0)
        return is_gone or run.state != "running" or self._stopping.is_set()

    def _stop_run(self, call: Call) -> Reply:
        with self._lock:
            run = self._runs.get(call.key("/v1/streams/"))
            if run is None:
                return error_reply(404, "unknown_stream")
            if run.state == "running":
                run.state = "cancelled"
        give_up = time.monotonic() + STOP_TIMEOUT_S
        while not run.has_left and time.monotonic() < give_up:
            self.pause(SILENT_STEP_S)
        return json_reply({}) if run.has_left else error_reply(503, "still_running")

    def _resume(self, call: Call) -> Reply | None:
        with self._lock:
            run = self._runs.get(call.key("/v1/streams/"))
        if run is None:
            return error_reply(404, "unknown_stream")
        call.start_stream("text/event-stream")
        index = int(call.query.get("offset", 0))
        while True:
            # Read before the pieces, so that none is missed when the run ends.
            state = run.state
            run.read_at = time.monotonic()
            while index < run.produced:
                call.write(run.event(index))
                index += 1
            if state != "running" or self._stopping.is_set():
                break
            self.pause(SILENT_STEP_S)
        if state != "done":
            raise DropConnection
        call.write(b"data: [DONE]\n\n")
        return None
