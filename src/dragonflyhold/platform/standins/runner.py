"""Stand-in for an upstream: an engine with adapter slots, or a plain service."""

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, final

import orjson

from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.http_server import HttpServer
from dragonflyhold.gateway.model import Address, IngressLimits
from dragonflyhold.gateway.responder import Responder
from dragonflyhold.platform.standins.engine_model import EngineModel
from dragonflyhold.platform.standins.late_copies import AnswerCopier
from dragonflyhold.platform.standins.pauses import Pause, RunTimeline

LOAD_TIME_S = 0.03
EVENT_INTERVAL_S = 0.005
# Interval between the bytes of a response that trickles.
TRICKLE_INTERVAL_S = 0.1
# Time after which a request that was accepted is refused late.
LATE_REFUSAL_S = 0.3


class Fault(enum.Enum):
    """Fault that affects one request."""

    REFUSE = "refuse"
    REFUSE_LATE = "refuse after some time in the queue"
    BREAK_BEFORE = "break before the answer"
    BREAK_MIDWAY = "break midway, inside an event"
    FAIL = "fail with a status of its own"
    UNSIGNED = "succeed without a signature"
    HANG = "hang"
    HANG_MIDWAY = "hang midway, with the connection open"
    TRICKLE = "send a byte now and then midway, in an event that never ends"


class Ending(enum.Enum):
    """What happens to the connection after the bytes of a ``RawAnswer``."""

    KEEP = "kept"
    CLOSE = "closed"
    RESET = "reset"
    SILENT = "kept open, and nothing more is sent"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """Bytes that are sent as the answer to one request; ``{id}`` stands for the request's id."""

    data: bytes
    ending: Ending = Ending.KEEP


class UpstreamStandIn:
    """Runs requests and commands, and records them for assertions.

    An engine model, if given, determines the timing; otherwise events have a fixed interval.
    """

    def __init__(
        self,
        host: str,
        upstream_id: str,
        service: str,
        *,
        slots: int = 3,
        model: EngineModel | None = None,
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.start_time_ms = 1
        # Version of its software, as its entry states it.
        self.software = "v1"
        # Whether events name that version.
        self.names_software = False
        self.slots = slots
        self.model = model
        self.sequence = 0
        self.adapters: dict[str, int] = {}
        self.loading: dict[str, int] = {}
        self.latest_versions: dict[str, int] = {}
        self.faults: list[Fault | RawAnswer] = []
        # Faults of requests that resume a stream; they take precedence.
        self.resume_faults: list[Fault | RawAnswer] = []
        # Whether answers carry the id of their request.
        self.echoes_ids = True
        # Writes earlier answers again, also those to commands and reads of the state.
        self.copier = AnswerCopier()
        # Number of next commands that are executed but get no response.
        self.lost_responses = 0
        # Whether commands are executed; others are answered as conflicts.
        self.is_loading_enabled = True
        self.events = 6
        self.event_interval_s = EVENT_INTERVAL_S
        # Time that an answer of a plain service takes.
        self.answer_s = EVENT_INTERVAL_S
        # Whether streams are sent in chunks; others end with their connection.
        self.frames_streams = True
        self.runs: list[dict[str, Any]] = []
        # Requests that were accepted, in the order of ``runs``.
        self.timelines: list[RunTimeline] = []
        # Requests that run at the same time; more are refused as full. ``None`` has no bound.
        self.batch: int | None = None
        self.pauses: list[Pause] = []
        # Called when a run begins.
        self.on_run_begun: Callable[[RunTimeline], None] = lambda timeline: None
        # Requests that arrived while this upstream stood still, until it looked at them.
        self.unread: list[RunTimeline] = []
        # Times and ids of all requests but commands and reads of the state.
        self.received: list[tuple[float, str]] = []
        self.commands: list[dict[str, Any]] = []
        self.max_slots_used = 0
        # Load time of the base model after a restart; 0 keeps it loaded.
        self.model_load_s = 0.0
        self.has_model = True
        self._is_loading_model = False
        # Requests for another incarnation.
        self.misdirected = 0
        # Time after a restart for which reports still describe the previous incarnation.
        self.report_lag_s = 0.0
        self._old_report: dict[str, Any] = {}
        self._old_report_until = 0.0
        self.active_requests: dict[str, int] = {}
        # Parts of a prompt on which this upstream crashes when it begins to write an answer.
        self.crashing_parts: frozenset[str] = frozenset()
        # Time from a crash until the upstream is back under a new id.
        self.crash_restart_s = 0.3
        # Times of the crashes.
        self.crash_times: list[float] = []
        # Requests a second that answers state as the limit, if any.
        self.limit_per_s: float | None = None
        # Returns the load that all answers state, if any.
        self.state_load: Callable[[], bytes] | None = None
        # Used and total memory that reports state, if any.
        self.memory: tuple[int, int] | None = None
        # Value of the header by which all answers state that this upstream leaves, if any.
        self.leaving: bytes | None = None
        # Whether health checks are rejected, as requests are, while it is full.
        self.rejects_health_when_full = False
        # Values of the header by which this upstream turns requests away, if any.
        self.turn_away: list[bytes] = []
        # Status of these answers, and whether they state that the request did not run.
        self.turn_away_status = 503
        self.states_not_run = True
        # Id of another request that answers name instead of their own, if any.
        self.answered_id = b""
        # Times and ids of the requests that were turned away.
        self.turned_away: list[tuple[float, str]] = []
        # Whether reports are answered like requests.
        self.is_stated_in_reports = True
        # Times at which reports were asked for.
        self.report_times: list[float] = []
        # Times at which clients' requests arrived, also those that were refused, and their ids.
        self.arrivals: list[float] = []
        self.arrival_ids: list[str] = []
        self.is_running = True
        # Whether connections are accepted and requests read, and none is answered.
        self.is_frozen = False
        # Targets of the requests that arrived meanwhile.
        self.held: list[bytes] = []
        self.on_restart: Callable[[str], None] = lambda old_id: None
        self._host = host
        self._server = HttpServer(self._handle, IngressLimits())
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return len(self.crash_times)

    @property
    def active_timelines(self) -> list[RunTimeline]:
        """Return the runs that go on, the newest last."""
        return [timeline for timeline in self.timelines if timeline.is_active]

    @property
    def is_full(self) -> bool:
        """Whether all places of the batch are taken, or other callers take each that gets free."""
        is_preempting = any(pause.is_open and not pause.is_of_all for pause in self.pauses)
        return is_preempting or (
            self.batch is not None and len(self.active_timelines) >= self.batch
        )

    def preempt(self, count: int) -> Pause:
        """Let the newest runs stand still until the pause is finished.

        Meanwhile other callers take each place that gets free, so that requests are refused.
        """
        pause = Pause(asyncio.get_running_loop().time())
        for timeline in self.active_timelines[-count:]:
            timeline.pauses.append(pause)
        self.pauses.append(pause)
        return pause

    def stand_still(self, *, is_inside_event: bool = False) -> Pause:
        """Let all runs stand still and answer nothing until the pause is finished."""
        now = asyncio.get_running_loop().time()
        pause = Pause(now, is_inside_event=is_inside_event, is_of_all=True)
        for timeline in self.active_timelines:
            timeline.pauses.append(pause)
        self.pauses.append(pause)
        return pause

    @property
    def address(self) -> Address:
        """Return the listener's address."""
        assert self._server._server is not None
        host, port = self._server._server.sockets[0].getsockname()
        return Address(f"{host}:{port}")

    async def start(self) -> None:
        """Start to accept connections."""
        await self._server.listen(self._host, 0)

    def close(self) -> None:
        """Abort all connections, as in a crash."""
        self._server.close_listener()
        for connection in list(self._server.connections):
            connection.abort()

    def crash(self) -> None:
        """Abort all connections and restart after ``crash_restart_s``, at the same address."""
        if not self.is_running:
            return
        self.crash_times.append(asyncio.get_running_loop().time())
        port = int(self.address.rpartition(":")[2])
        self.close()
        self.is_running = False
        self._start_task(self._restart_after_crash(port))

    async def _restart_after_crash(self, port: int) -> None:
        await asyncio.sleep(self.crash_restart_s)
        old_id = self.upstream_id
        self.restart(f"{old_id.partition('~')[0]}~{self.crashes}")
        await self._server.listen(self._host, port)
        self.is_running = True
        self.on_restart(old_id)

    def restart(self, upstream_id: str) -> None:
        """Start a new incarnation at the same address, with no adapters loaded."""
        for connection in list(self._server.connections):
            connection.abort()
        self._old_report = self._report()
        self._old_report_until = asyncio.get_running_loop().time() + self.report_lag_s
        self.upstream_id = upstream_id
        self.start_time_ms += 1
        self.sequence = 0
        self.has_model = self.model_load_s == 0
        self.leaving = None
        self.turn_away = []
        self.adapters.clear()
        self.loading.clear()
        if self.model is not None:
            self.model.restart()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the upstream's entry in the registry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "dc-a",
            "version": self.software,
            "slots": self.model.timing.batch if self.model else 8,
            "state": state,
            "cold_remaining_ms": 0,
            "models": self._models(),
            "sequence": self.sequence,
            "born": self.start_time_ms,
        }

    def _models(self) -> list[dict[str, Any]]:
        if not self.has_model:
            return []
        names = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": "base", "version": 1, "adapters": names}]

    async def _handle(self, request: ClientRequest, responder: Responder) -> None:
        await self.copier.handle(self._answer, request, responder)

    async def _answer(self, request: ClientRequest, responder: Responder) -> None:
        if self.is_frozen:
            self.held.append(request.target)
        while self.is_frozen:
            await asyncio.sleep(TRICKLE_INTERVAL_S)
        if request.target not in (b"/report", b"/health", b"/order"):
            request_id = request.fields.get(b"attempt-id", b"").decode()
            self.received.append((asyncio.get_running_loop().time(), request_id))
            await self._wait_unread(request_id)
        while (pause := self._open_standstill()) is not None:
            await pause.wait()
        expected = request.fields.get(b"expected-instance")
        if request.target == b"/report":
            self.report_times.append(asyncio.get_running_loop().time())
            if self.turn_away and self.is_stated_in_reports:
                self._turn_away(responder, [])
                return
            is_lagging = asyncio.get_running_loop().time() < self._old_report_until
            self._send_json(responder, 200, self._old_report if is_lagging else self._report())
        elif expected is not None and expected.decode() != self.upstream_id:
            self.misdirected += 1
            self._send(responder, 421, [(b"Instance-Id", self.upstream_id.encode())])
        elif request.target == b"/health":
            if self.rejects_health_when_full and self.is_full:
                self._send(responder, 503, [(b"Not-Executed", b"1")])
                return
            self._send(responder, 200, [(b"Instance-Id", self.upstream_id.encode())])
        elif request.target == b"/order":
            self._handle_command(responder, orjson.loads(request.body))
        else:
            await self._handle_request(request, responder)

    async def _wait_unread(self, request_id: str) -> None:
        """Wait while the upstream stands still, and record the request as unread meanwhile."""
        if self._open_standstill() is None:
            return
        loop = asyncio.get_running_loop()
        timeline = RunTimeline(request_id, loop.time(), is_faulty=False)
        self.unread.append(timeline)
        try:
            while (pause := self._open_standstill()) is not None:
                await pause.wait()
        finally:
            timeline.ended_at = loop.time()

    def _open_standstill(self) -> Pause | None:
        return next((pause for pause in self.pauses if pause.is_open and pause.is_of_all), None)

    def _send(
        self,
        responder: Responder,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes = b"",
    ) -> None:
        responder.send(status, [*headers, *self._stated_headers()], body)

    def _turn_away(self, responder: Responder, headers: list[tuple[bytes, bytes]]) -> None:
        headers.extend((b"Retry-After", value) for value in self.turn_away)
        if self.states_not_run:
            headers.append((b"Not-Executed", b"1"))
        self._send(responder, self.turn_away_status, headers)

    def _stated_headers(self) -> list[tuple[bytes, bytes]]:
        """Return what all answers state now."""
        stated = [] if self.leaving is None else [(b"Server-Leaving", self.leaving)]
        if self.state_load is not None:
            stated.append((b"Server-Load", self.state_load()))
        return stated

    def _report(self) -> dict[str, Any]:
        memory = dict(zip(("kv_used", "kv_total"), self.memory or (), strict=False))
        return {
            **memory,
            "stage": "both",
            "models": self._models(),
            "busy": self._is_loading_model,
            "sequence": self.sequence,
            "running": self._count_running(),
            "waiting": self.model.waiting if self.model else 0,
            "coming": [f"base/{name}@{version}" for name, version in self.loading.items()],
            "born": self.start_time_ms,
        }

    def _count_running(self) -> int:
        if self.model is not None:
            return self.model.running
        if self.batch is not None and self.is_full:
            return self.batch
        return sum(self.active_requests.values())

    def _handle_command(self, responder: Responder, command: dict[str, Any]) -> None:
        self.commands.append(command)
        status = self._execute_command(command)
        if self.lost_responses:
            self.lost_responses -= 1
            responder.abort()
            return
        self._send(responder, status, [])

    def _execute_command(self, command: dict[str, Any]) -> int:
        if command["expected"] != self.sequence or not self.is_loading_enabled:
            return 409
        self.sequence += 1
        if "adapter" not in command:
            self._start_task(self._load_model())
            return 202
        name = command["adapter"]
        if command["operation"] == "unload":
            assert self.active_requests.get(name, 0) == 0, "unload command for an adapter in use"
            self.adapters.pop(name, None)
            return 200
        version = command.get("version") or self.latest_versions.get(name, 1)
        self.loading[name] = version
        self.max_slots_used = max(
            self.max_slots_used, len(self.adapters.keys() | self.loading.keys())
        )
        self._start_task(self._load(name, version))
        return 202

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load_model(self) -> None:
        self._is_loading_model = True
        await asyncio.sleep(self.model_load_s)
        self._is_loading_model = False
        self.has_model = True

    async def _load(self, name: str, version: int) -> None:
        if self.model is not None:
            await self.model.load(name)
        else:
            await asyncio.sleep(LOAD_TIME_S)
        self.loading.pop(name, None)
        self.adapters[name] = version

    async def _handle_request(self, request: ClientRequest, responder: Responder) -> None:
        fields = request.fields
        request_id = fields.get(b"attempt-id", b"")
        self.arrivals.append(asyncio.get_running_loop().time())
        self.arrival_ids.append(request_id.decode())
        answered_id = self.answered_id or request_id
        id_headers = [(b"Attempt-Id", answered_id)] if request_id and self.echoes_ids else []
        adapter = fields.get(b"model", b"").decode().partition("/")[2]
        expected_version = fields.get(b"expected-version")
        if adapter and (
            adapter not in self.adapters
            or (expected_version is not None and int(expected_version) != self.adapters[adapter])
        ):
            self._send(responder, 421, id_headers)
            return
        if self.turn_away:
            self.turned_away.append((self.arrivals[-1], request_id.decode()))
            self._turn_away(responder, id_headers)
            return
        is_resume = b"last-event-id" in fields and bool(self.resume_faults)
        faults = self.resume_faults if is_resume else self.faults
        fault = faults.pop(0) if faults else None
        if fault is Fault.REFUSE or self.is_full:
            self._send(responder, 503, [*id_headers, (b"Not-Executed", b"1")])
            return
        first = int(fields.get(b"last-event-id", b"0")) + 1
        self.runs.append(
            {
                "id": request_id.decode(),
                "adapter": adapter,
                "version": self.adapters.get(adapter),
                "first": first,
                "fields": dict(fields),
                "body": request.body,
                "target": request.target,
            }
        )
        timeline = RunTimeline(
            request_id.decode(), asyncio.get_running_loop().time(), fault is not None
        )
        self.timelines.append(timeline)
        self.active_requests[adapter] = self.active_requests.get(adapter, 0) + 1
        try:
            await self._respond(request, responder, id_headers, first, fault, timeline)
            timeline.is_whole = responder.is_complete
        finally:
            self.active_requests[adapter] -= 1
            timeline.ended_at = asyncio.get_running_loop().time()

    async def _respond(
        self,
        request: ClientRequest,
        responder: Responder,
        id_headers: list[tuple[bytes, bytes]],
        first: int,
        fault: Fault | RawAnswer | None,
        timeline: RunTimeline,
    ) -> None:
        signed_headers = [
            *id_headers,
            (b"Response-Signature", b"sig." + self.upstream_id.encode()),
        ]
        if self.limit_per_s is not None:
            signed_headers.append((b"Server-Limit", b"%.1f" % self.limit_per_s))
        is_plain = b"prompt-prefix" not in request.fields
        if is_plain or fault in (Fault.BREAK_BEFORE, Fault.FAIL, Fault.UNSIGNED):
            self._note_begun(timeline, has_head=False)
        if isinstance(fault, RawAnswer):
            await self._send_raw(responder, fault, request.fields.get(b"attempt-id", b""))
            return
        if fault is Fault.HANG:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5.0):
                    await asyncio.Event().wait()
        if fault is Fault.REFUSE_LATE:
            await asyncio.sleep(LATE_REFUSAL_S)
            self._send(responder, 503, [*id_headers, (b"Not-Executed", b"1")])
        elif fault is Fault.BREAK_BEFORE or fault is Fault.HANG:
            responder.abort()
        elif fault is Fault.FAIL:
            self._send(responder, 500, signed_headers, b"failed")
        elif fault is Fault.UNSIGNED:
            self._send(responder, 200, id_headers, b"unsigned")
        elif is_plain:
            await asyncio.sleep(self.answer_s)
            await timeline.wait()
            self._send(responder, 200, signed_headers, b"answer to " + request.target)
        else:
            counts = request.fields.get(b"token-count", b"").split(b",")
            if self.model is None or len(counts) != 2:
                parts = request.fields[b"prompt-prefix"]
                await self._stream(responder, signed_headers, first, fault, parts, timeline)
            else:
                prompt, output = map(int, counts)
                await self._generate(responder, signed_headers, first, prompt, output)

    async def _send_raw(self, responder: Responder, answer: RawAnswer, request_id: bytes) -> None:
        connection = responder._connection
        connection.write(answer.data.replace(b"{id}", request_id))
        match answer.ending:
            case Ending.KEEP:
                responder._end()
            case Ending.CLOSE:
                responder._keep_alive = False
                responder._end()
            case Ending.RESET:
                # What was written is delivered before the reset.
                await asyncio.sleep(EVENT_INTERVAL_S)
                connection.reset_on_close(True)
                responder.abort()
            case Ending.SILENT:
                await asyncio.Event().wait()

    async def _stream(
        self,
        responder: Responder,
        headers: list[tuple[bytes, bytes]],
        first: int,
        fault: Fault | RawAnswer | None,
        parts: bytes,
        timeline: RunTimeline,
    ) -> None:
        await timeline.wait()
        self._note_begun(timeline, has_head=True)
        if not self.frames_streams:
            responder._http_10 = True
        responder.start_stream(200, [*headers, *self._stated_headers()])
        # A crashed process may just end its connections.
        responder._connection.reset_on_close(False)
        if self._is_crashing(parts):
            await responder.write(b"id: %d\ndata: ha" % first)
            await asyncio.sleep(self.event_interval_s)
            self.crash()
            return
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_interval_s)
            if fault is Fault.BREAK_MIDWAY and number == first + 2:
                await responder.write(b"id: %d\ndata: ha" % number)
                await asyncio.sleep(EVENT_INTERVAL_S)
                responder.abort()
                return
            if fault is Fault.HANG_MIDWAY and number == first + 2:
                await asyncio.Event().wait()
            while fault is Fault.TRICKLE and number == first + 2:
                await responder.write(b"x")
                await asyncio.sleep(TRICKLE_INTERVAL_S)
            text = self.software.encode() if self.names_software else b"piece"
            event = b"id: %d\ndata: %s %d\n\n" % (number, text, number)
            pause = timeline.open_pause
            if pause is not None and pause.is_inside_event:
                await responder.write(event[: len(event) // 2])
                event = event[len(event) // 2 :]
            await timeline.wait()
            await responder.write(event)
        responder.end_stream()

    def _note_begun(self, timeline: RunTimeline, *, has_head: bool) -> None:
        is_first = timeline.begun_at is None
        timeline.note_begun(has_head=has_head)
        if is_first:
            self.on_run_begun(timeline)

    def _is_crashing(self, parts: bytes) -> bool:
        ids = {part.partition(":")[0] for part in parts.decode("latin-1").split(",")}
        return not ids.isdisjoint(self.crashing_parts)

    async def _generate(
        self,
        responder: Responder,
        headers: list[tuple[bytes, bytes]],
        first: int,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        assert self.model is not None
        last = max(first, round(output_tokens / self.model.timing.tokens_per_event))
        number = first
        async for _ in self.model.generate(prompt_tokens, last - first + 1):
            if number == first:
                responder.start_stream(200, [*headers, *self._stated_headers()])
            await responder.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            number += 1
        responder.end_stream()

    def _send_json(self, responder: Responder, status: int, body: dict[str, Any]) -> None:
        headers = [(b"Content-Type", b"application/json")]
        if self.is_stated_in_reports:
            headers.extend(self._stated_headers())
        responder.send(status, headers, orjson.dumps(body))
