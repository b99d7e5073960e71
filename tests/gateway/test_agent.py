"""Tests of the agent with an engine whose responses are lost and that restarts."""

import asyncio
from collections.abc import Iterable

import msgpack
import orjson
import pytest

from dragonflyhold.gateway.agent import Agent
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.messages import DemandUpdate, EngineUpdate, Message, decode
from dragonflyhold.gateway.model import (
    AdapterCommand,
    CommandKind,
    CommandResult,
    EngineReport,
    UpstreamId,
)
from dragonflyhold.ids import ServiceName
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform.standins.site import ENGINE_SERVICE, configuration
from dragonflyhold.platform.store import StoredRow, StorePosition
from tests.gateway.builders import MODEL, adapter, demand, report

SLOTS = 3


class _Engine:
    """Executes commands at once, those with a lost response only in ``execute_unanswered``."""

    def __init__(self) -> None:
        self.upstream_id = UpstreamId("incarnation-1")
        self.start_time_ms = 1
        self.sequence = 0
        self.has_model = True
        self.resident: set[int] = set()
        # Number of next commands, and of next loads, whose response is lost.
        self.lost_responses = 0
        self.lost_load_responses = 0
        # What the sender sees of a command whose response is lost.
        self.lost_result = CommandResult.UNKNOWN
        self.unanswered: list[tuple[AdapterCommand, int, UpstreamId | None]] = []
        self.command_upstream_ids: list[UpstreamId | None] = []
        self.max_slots_used = 0
        self.fails = False

    async def report(self) -> EngineReport:
        models = (MODEL,) if self.has_model else ()
        resident = dict.fromkeys(self.resident, 1)
        return report(
            resident, sequence=self.sequence, start_time_ms=self.start_time_ms, models=models
        )

    async def identify(self, health_path: str) -> UpstreamId | None:
        assert health_path == "/health"
        return self.upstream_id

    async def send_command(
        self,
        command: AdapterCommand,
        expected: int,
        fencing_token: int,
        upstream_id: UpstreamId | None,
    ) -> CommandResult:
        assert fencing_token > 0
        if self.fails:
            raise OverflowError("int too large")
        self.command_upstream_ids.append(upstream_id)
        is_load = command.kind is CommandKind.LOAD
        if self.lost_responses or (self.lost_load_responses and is_load):
            self.lost_responses = max(0, self.lost_responses - 1)
            self.lost_load_responses = max(0, self.lost_load_responses - 1)
            self.unanswered.append((command, expected, upstream_id))
            return self.lost_result
        if expected != self.sequence:
            return CommandResult.CONFLICT
        self.execute(command)
        return CommandResult.ACCEPTED

    def execute(self, command: AdapterCommand) -> None:
        self.sequence += 1
        if command.adapter is None:
            self.has_model = True
            return
        number = int(command.adapter[1:])
        if command.kind is CommandKind.LOAD:
            self.resident.add(number)
        else:
            self.resident.discard(number)
        self.max_slots_used = max(self.max_slots_used, len(self.resident))

    def execute_unanswered(self) -> None:
        """Execute the unanswered commands for this sequence and incarnation."""
        for command, expected, upstream_id in self.unanswered:
            if expected == self.sequence and upstream_id in (None, self.upstream_id):
                self.execute(command)

    def restart(self, keeps_id: bool = False) -> None:
        self.start_time_ms += 1
        if not keeps_id:
            self.upstream_id = UpstreamId(f"incarnation-{self.start_time_ms}")
        self.sequence = 0
        self.has_model = False
        self.resident.clear()


class _Store:
    async def write(self, table: str, key: str, value: bytes, part: str = "") -> StorePosition:
        del table, key, value, part
        return StorePosition(1, 7)


class _Link:
    peer = "10.0.0.1"
    last_sent_at = 0.0

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def is_heartbeat_overdue(self, now: float) -> bool:
        del now
        return False

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def send_encoded(self, data: bytes) -> None:
        self.send(decode(list(msgpack.unpackb(data))))


class _Harness:
    def __init__(self) -> None:
        self.engine = _Engine()
        catalogue = Catalogue()
        catalogue.apply(StoredRow("config", 1, orjson.dumps(configuration())))
        self.agent = Agent(
            "side-1",
            ServiceName(ENGINE_SERVICE),
            self.engine,
            _Store(),  # type: ignore[arg-type]
            catalogue,
            Metrics(),
        )
        self.link = _Link()
        self.agent.link_opened(self.link)  # type: ignore[arg-type]

    def request_adapters(self, numbers: Iterable[int], waiting: int = 1) -> None:
        update = DemandUpdate([demand(number, waiting=waiting) for number in numbers])
        self.agent.link_message(self.link, update)  # type: ignore[arg-type]

    async def run_cycles(self, count: int = 1) -> None:
        for _ in range(count):
            await self.agent._read_engine()
            if self.agent._report is not None:
                await self.agent._execute_plan(self.agent._report)
        self.agent._publish()

    @property
    def last_update(self) -> EngineUpdate:
        return [item for item in self.link.sent if isinstance(item, EngineUpdate)][-1]


class TestUnansweredCommands:
    """Commands whose response was lost."""

    def test_an_unanswered_load_is_sent_again(self) -> None:
        harness = _Harness()
        harness.engine.lost_responses = 1
        harness.request_adapters([1])
        asyncio.run(harness.run_cycles(2))
        assert harness.engine.resident == {1}

    @pytest.mark.parametrize("seen", list(CommandResult))
    def test_a_slot_is_reserved_for_an_unconfirmed_load(self, seen: CommandResult) -> None:
        """Guards against a late load that exceeds the engine's adapter slots.

        After a restart the engine counts sequences from zero again. If it keeps its id, an
        unanswered load of the incarnation before may become valid once more and be executed.
        """

        async def scenario(harness: _Harness) -> int:
            harness.request_adapters([1, 2, 3])
            await harness.run_cycles(2)
            harness.request_adapters([1], waiting=0)
            harness.request_adapters([4])
            harness.engine.lost_load_responses = 1
            harness.engine.lost_result = seen
            await harness.run_cycles()
            harness.request_adapters([2, 3, 4], waiting=0)
            harness.engine.restart(keeps_id=True)
            harness.request_adapters([5, 6, 7])
            for _ in range(6):
                await harness.run_cycles()
                harness.engine.execute_unanswered()
            return harness.engine.max_slots_used

        assert asyncio.run(scenario(_Harness())) <= SLOTS

    def test_no_slot_is_reserved_for_loads_of_an_incarnation_with_another_id(self) -> None:
        """Guards against an engine that loads nothing, as it crashed while it got loads."""

        async def scenario(harness: _Harness) -> set[int]:
            harness.engine.sequence = 5
            harness.engine.lost_load_responses = SLOTS
            harness.request_adapters([1, 2, 3])
            await harness.run_cycles(SLOTS)
            harness.engine.restart()
            harness.request_adapters([1, 2, 3], waiting=0)
            harness.request_adapters([4, 5, 6])
            await harness.run_cycles(6)
            return harness.engine.resident

        assert asyncio.run(scenario(_Harness())) == {4, 5, 6}

    def test_commands_name_the_engines_incarnation(self) -> None:
        async def scenario(harness: _Harness) -> list[UpstreamId | None]:
            harness.request_adapters([1])
            await harness.run_cycles(2)
            harness.engine.restart()
            harness.request_adapters([2])
            await harness.run_cycles(2)
            return harness.engine.command_upstream_ids

        ids = asyncio.run(scenario(_Harness()))
        assert set(ids) == {"incarnation-1", "incarnation-2"}
        assert ids == sorted(ids, key=str)


class TestFalselyAcceptedCommands:
    """A late copy of the answer to an earlier command, in the place of a lost answer."""

    def test_unload_that_was_not_accepted_is_sent_again(self) -> None:
        """Guards against a slot that is held for good by an adapter that counts as unloading."""

        async def scenario(harness: _Harness) -> set[int]:
            harness.request_adapters([1, 2, 3])
            await harness.run_cycles(2)
            harness.request_adapters([1], waiting=0)
            harness.request_adapters([4])
            harness.engine.lost_responses = 1
            harness.engine.lost_result = CommandResult.ACCEPTED
            await harness.run_cycles(3)
            return harness.engine.resident

        assert asyncio.run(scenario(_Harness())) == {2, 3, 4}


class TestUpdatesToGateways:
    """Reports sent to gateways."""

    def test_a_report_lists_resident_adapters_and_readiness(self) -> None:
        harness = _Harness()
        harness.request_adapters([1, 2])
        asyncio.run(harness.run_cycles(2))
        assert [key for key, _ in harness.last_update.resident] == [adapter(1), adapter(2)]
        assert (harness.last_update.can_load, harness.last_update.has_model) == (True, True)

    def test_the_demand_of_a_disconnected_gateway_is_dropped(self) -> None:
        harness = _Harness()
        harness.agent.link_closed(harness.link)  # type: ignore[arg-type]
        asyncio.run(harness.run_cycles(2))
        assert harness.engine.resident == set()


class TestFailingPlans:
    """Guards against an agent that tells gateways nothing while each of its plans fails."""

    def test_the_engines_state_is_published_although_commands_fail(self) -> None:
        async def run() -> list[int]:
            harness = _Harness()
            harness.engine.resident = {1}
            harness.engine.fails = True
            demands = [demand(4, waiting=1)]
            harness.agent.link_message(harness.link, DemandUpdate(demands))  # type: ignore[arg-type]
            task = asyncio.ensure_future(harness.agent.run())
            await asyncio.sleep(0.3)
            assert not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            updates = [item for item in harness.link.sent if isinstance(item, EngineUpdate)]
            return [len(update.resident) for update in updates]

        assert asyncio.run(run())[-1] == 1
