"""Tests of the agent's orders against an engine that loses answers and restarts."""

import asyncio
from collections.abc import Iterable

import orjson

from dragonflyhold.gateway.agent import Agent
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.messages import DemandUpdate, EngineUpdate, Message
from dragonflyhold.gateway.model import (
    AdapterCommand,
    CommandKind,
    CommandResult,
    EngineReport,
    UpstreamId,
)
from dragonflyhold.ids import ServiceName
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform.standins.site import ENGINES, configuration
from dragonflyhold.platform.store import StoredRow
from tests.gateway.builders import MODEL, adapter, demand, report

SLOTS = 3


class _Engine:
    """Carries orders out at once; those whose answer is lost only when ``late`` is called."""

    def __init__(self) -> None:
        self.start_time_ms = 1
        self.sequence = 0
        self.has_model = True
        self.held: set[int] = set()
        # Answers to the next orders, or the next loads, are lost.
        self.lose = 0
        self.lose_loads = 0
        self.unanswered: list[tuple[AdapterCommand, int]] = []
        self.seen_ids: list[UpstreamId | None] = []
        self.most_held = 0

    async def report(self) -> EngineReport:
        models = (MODEL,) if self.has_model else ()
        held = dict.fromkeys(self.held, 1)
        return report(held, sequence=self.sequence, start_time_ms=self.start_time_ms, models=models)

    async def identify(self, health_path: str) -> UpstreamId | None:
        assert health_path == "/health"
        return UpstreamId(f"life-{self.start_time_ms}")

    async def send_command(
        self,
        command: AdapterCommand,
        expected: int,
        fencing_token: int,
        upstream_id: UpstreamId | None,
    ) -> CommandResult:
        assert fencing_token > 0
        self.seen_ids.append(upstream_id)
        is_load = command.kind is CommandKind.LOAD
        if self.lose or (self.lose_loads and is_load):
            self.lose = max(0, self.lose - 1)
            self.lose_loads = max(0, self.lose_loads - 1)
            self.unanswered.append((command, expected))
            return CommandResult.UNKNOWN
        if expected != self.sequence:
            return CommandResult.CONFLICT
        self.carry_out(command)
        return CommandResult.ACCEPTED

    def carry_out(self, command: AdapterCommand) -> None:
        self.sequence += 1
        if command.adapter is None:
            self.has_model = True
            return
        number = int(command.adapter[1:])
        if command.kind is CommandKind.LOAD:
            self.held.add(number)
        else:
            self.held.discard(number)
        self.most_held = max(self.most_held, len(self.held))

    def late(self) -> None:
        """Carry out what got no answer, where its sequence has come up."""
        for command, expected in self.unanswered:
            if expected == self.sequence:
                self.carry_out(command)

    def restart(self) -> None:
        self.start_time_ms += 1
        self.sequence = 0
        self.has_model = False
        self.held.clear()


class _Store:
    async def write(self, table: str, key: str, value: bytes, part: str = "") -> int:
        del table, key, value, part
        return 7


class _Link:
    peer = "10.0.0.1"
    last_sent = 0.0

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def is_silent(self, now: float) -> bool:
        del now
        return False

    def send(self, message: Message) -> None:
        self.sent.append(message)


class _World:
    def __init__(self) -> None:
        self.engine = _Engine()
        catalogue = Catalogue()
        catalogue.apply(StoredRow("config", 1, orjson.dumps(configuration())))
        self.agent = Agent(
            "side-1",
            ServiceName(ENGINES),
            self.engine,
            _Store(),  # type: ignore[arg-type]
            catalogue,
            Metrics(),
        )
        self.link = _Link()
        self.agent.link_opened(self.link)  # type: ignore[arg-type]

    def want(self, numbers: Iterable[int], waiting: int = 1) -> None:
        update = DemandUpdate([demand(number, waiting=waiting) for number in numbers])
        self.agent.link_message(self.link, update)  # type: ignore[arg-type]

    async def step(self, times: int = 1) -> None:
        for _ in range(times):
            await self.agent._read_engine()
            if self.agent._report is not None:
                await self.agent._execute_plan(self.agent._report)
        self.agent._publish()

    @property
    def last_update(self) -> EngineUpdate:
        return [item for item in self.link.sent if isinstance(item, EngineUpdate)][-1]


class TestUnansweredCommands:
    """Unanswered orders."""

    def test_an_unanswered_load_is_given_again(self) -> None:
        world = _World()
        world.engine.lose = 1
        world.want([1])
        asyncio.run(world.step(2))
        assert world.engine.held == {1}

    def test_a_slot_is_reserved_for_an_unconfirmed_load(self) -> None:
        """Pattern: late orders and restarts.

        A load without an answer came through after the engine's restart, when its sequence came up
        again, and was one more than the engine had places for.
        """

        async def play(world: _World) -> int:
            world.want([1, 2, 3])
            await world.step(2)
            world.want([1], waiting=0)
            world.want([4])
            world.engine.lose_loads = 1
            await world.step()
            world.want([2, 3, 4], waiting=0)
            world.engine.restart()
            world.want([5, 6, 7])
            for _ in range(6):
                await world.step()
                world.engine.late()
            return world.engine.most_held

        assert asyncio.run(play(_World())) <= SLOTS

    def test_commands_name_the_engines_incarnation(self) -> None:
        async def play(world: _World) -> list[UpstreamId | None]:
            world.want([1])
            await world.step(2)
            world.engine.restart()
            world.want([2])
            await world.step(2)
            return world.engine.seen_ids

        ids = asyncio.run(play(_World()))
        assert set(ids) == {"life-1", "life-2"}
        assert ids == sorted(ids, key=str)


class TestUpdatesToGateways:
    """What gateways are last_update."""

    def test_loaded_adapters_and_free_adapter_slots(self) -> None:
        world = _World()
        world.want([1, 2])
        asyncio.run(world.step(2))
        assert [key for key, _ in world.last_update.resident] == [adapter(1), adapter(2)]
        assert (world.last_update.can_load, world.last_update.has_model) == (True, True)

    def test_a_gateway_that_leaves_takes_its_demand_along(self) -> None:
        world = _World()
        world.agent.link_closed(world.link)  # type: ignore[arg-type]
        asyncio.run(world.step(2))
        assert world.engine.held == set()
