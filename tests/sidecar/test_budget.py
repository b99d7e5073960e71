"""Tests of the load budget: the broker, its client and the fallback to a local share."""

import dataclasses
from collections.abc import Iterator

import pytest

from dragonflyhold.adapters import BrokerGrant, StartLoad, choose_broker
from dragonflyhold.config.objects import Upstream
from dragonflyhold.ids import Incarnation, UpstreamName
from dragonflyhold.observability import Metrics
from dragonflyhold.settings import LoadBudgetSettings, TlsSettings
from dragonflyhold.sidecar.budget import (
    BrokerClient,
    BrokerDirectory,
    BrokerServicer,
    BudgetReply,
    LoadBudget,
    ThreadSafeBroker,
)
from dragonflyhold.transport.grpc_endpoints import bind_server, make_server
from dragonflyhold.transport.schema import broker_pb2_grpc
from tests.sidecar.fakes import UPSTREAM, FakeView, adapter_key

SETTINGS = LoadBudgetSettings(loads_per_s=2.0, burst=2, grant_ttl_s=5.0)
NAMES = [UpstreamName(f"runner-{number}") for number in range(1, 4)]
BROKER = choose_broker(NAMES)
OTHER = next(name for name in NAMES if name != BROKER)


class Clock:
    """A clock that tests advance."""

    now = 100.0

    def __call__(self) -> float:
        return self.now


def make_upstreams(port: int = 1) -> list[Upstream]:
    base = FakeView().upstreams[UPSTREAM]
    return [
        dataclasses.replace(base, name=name, sidecar_address=f"127.0.0.1:{port}") for name in NAMES
    ]


class BudgetHarness:
    """Load budget of one sidecar and its own broker, served on a local port."""

    def __init__(self, name: UpstreamName, upstreams: list[Upstream]) -> None:
        self.clock = Clock()
        self.directory = BrokerDirectory(name, lambda: upstreams)
        self.local_broker = ThreadSafeBroker(SETTINGS)
        incarnation = Incarnation("0" * 16)
        self.client = BrokerClient(
            name,
            incarnation,
            self.directory,
            self.local_broker,
            TlsSettings(),
            Metrics(),
            self.clock,
        )
        self.replies: list[BudgetReply] = []
        self.checked_brokers: list[Upstream] = []
        self.budget = LoadBudget(
            SETTINGS, self.client, self.directory, lambda call: call(), self.on_reply
        )
        self.server = make_server(4)
        servicer = BrokerServicer(
            SETTINGS, self.local_broker, self.directory, self.checked_brokers.append, self.clock
        )
        broker_pb2_grpc.add_LoadBrokerServicer_to_server(servicer, self.server)
        self.port = bind_server(self.server, "127.0.0.1:0", TlsSettings())
        self.server.start()

    def on_reply(self, reply: object) -> None:
        assert isinstance(reply, BudgetReply)
        self.replies.append(reply)
        self.budget.on_reply(reply, self.clock.now)

    def request_loads(self, *names: str) -> None:
        planned_loads = [
            StartLoad(index, adapter_key(name), 1.0 + index) for index, name in enumerate(names)
        ]
        self.budget.request_loads(planned_loads, self.clock.now)

    def use_grant(self, name: str) -> int | None:
        return self.budget.use_grant(adapter_key(name), self.clock.now)

    def stop(self) -> None:
        self.client.close()
        self.server.stop(None).wait()


@pytest.fixture
def broker() -> Iterator[BudgetHarness]:
    harness = BudgetHarness(BROKER, make_upstreams())
    yield harness
    harness.stop()


@pytest.fixture
def other(broker: BudgetHarness) -> Iterator[BudgetHarness]:
    harness = BudgetHarness(OTHER, make_upstreams(broker.port))
    yield harness
    harness.stop()


class TestLoadBudget:
    """Guards against loads that exceed the budget and against a budget that grants nothing."""

    def test_load_needs_a_grant_of_the_broker(
        self, broker: BudgetHarness, other: BudgetHarness
    ) -> None:
        other.request_loads("pale")
        assert other.use_grant("pale") is None
        # A new broker starts without tokens.
        broker.local_broker.acquire(BROKER, Incarnation("1" * 16), [], broker.clock.now)
        broker.clock.now += 10.0
        other.budget.step(other.clock.now)
        number = other.use_grant("pale")
        assert number is not None
        assert other.use_grant("pale") is None
        other.budget.release(number)

    def test_broker_grants_its_own_load_requests(self, broker: BudgetHarness) -> None:
        broker.request_loads("pale", "stout")
        broker.budget.step(broker.clock.now)
        broker.clock.now += 10.0
        broker.budget.step(broker.clock.now)
        assert broker.replies[-1].grant is not None
        assert broker.use_grant("pale") is not None

    def test_process_that_is_not_the_broker_refuses_and_checks_the_broker(
        self, other: BudgetHarness
    ) -> None:
        third = BudgetHarness(next(name for name in NAMES if name not in (BROKER, OTHER)), [])
        third.directory = BrokerDirectory(UpstreamName("x"), lambda: make_upstreams(other.port))
        third.client._directory = third.directory
        third.request_loads("pale")
        third.budget.step(third.clock.now)
        assert third.replies == [BudgetReply(None, (1,))]
        assert [upstream.name for upstream in other.checked_brokers] == [BROKER]
        third.stop()

    def test_unreachable_broker_is_replaced_and_the_local_share_is_used(self) -> None:
        harness = BudgetHarness(OTHER, make_upstreams(1))
        harness.request_loads("pale", "stout", "mild")
        harness.budget.step(harness.clock.now)
        assert harness.replies[-1].grant is None
        # 2 loads/s divided among 3 upstreams allow one load per 1.5 s.
        assert harness.use_grant("pale") is None
        harness.clock.now += 1.6
        assert harness.use_grant("pale") is not None
        assert harness.use_grant("stout") is None
        next_broker = harness.directory.broker(harness.clock.now)
        assert next_broker is None or next_broker.name != BROKER
        harness.stop()

    def test_expired_grant_is_not_used(self, broker: BudgetHarness) -> None:
        broker.request_loads("pale")
        broker.budget.on_reply(BudgetReply(BrokerGrant((1,), 0.0), (1,)), broker.clock.now)
        broker.clock.now += SETTINGS.grant_ttl_s
        assert broker.use_grant("pale") is None

    def test_grant_of_a_replaced_load_request_is_not_used(self, broker: BudgetHarness) -> None:
        broker.request_loads("pale")
        broker.budget.on_reply(BudgetReply(BrokerGrant((1,), 0.0), (1,)), broker.clock.now)
        broker.request_loads("stout")
        assert broker.use_grant("pale") is None
