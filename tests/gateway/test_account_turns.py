"""Tests of the turns of client accounts between gateways and agents."""

import asyncio
import dataclasses
import math
import time

import msgpack
import pytest

from dragonflyhold.accounts import AccountName, ClientAccount
from dragonflyhold.fairness import (
    MAX_SHARES,
    AccountShare,
    AccountTag,
    Claim,
    NeedLevel,
    account_tag,
)
from dragonflyhold.gateway.demand_table import DemandTable
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.load_turns import LoadTurns
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.messages import AdapterDemand, DemandUpdate, decode, encode
from dragonflyhold.gateway.model import ModelAdapter, UpstreamId
from dragonflyhold.gateway.outcomes import Reason, RefusedError
from dragonflyhold.gateway.request import RequestRun
from dragonflyhold.gateway.waiting import DemandTracker, Waiter
from dragonflyhold.ids import Version
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform import codec
from dragonflyhold.platform.standins.site import (
    HOST,
    Answer,
    InProcessDeployment,
    client_call,
    running_deployment,
)
from tests.gateway.builders import adapter, demand
from tests.gateway.test_client_accounts import publish, with_accounts

NOW = 100.0
HOT, OTHER = Claim(AccountTag(2), 0), Claim(AccountTag(3), 0)


def _claimed(number: int, *shares: tuple[Claim, float]) -> AdapterDemand:
    total = sum(utility for _, utility in shares)
    return dataclasses.replace(
        demand(number, waiting=len(shares), utility=total),
        shares=tuple(AccountShare(claim, utility, 0.5) for claim, utility in shares),
    )


class TestMessages:
    """Demands with and without accounts, also between builds of different age."""

    def test_shares_survive_the_way(self) -> None:
        update = DemandUpdate([demand(1), _claimed(2, (HOT, 1.5), (OTHER, 0.25))])
        decoded = decode(msgpack.unpackb(encode(update)))
        assert isinstance(decoded, DemandUpdate)
        assert [tuple(item.shares) for item in decoded.demands] == [
            (),
            tuple(update.demands[1].shares),
        ]

    def test_a_demand_without_accounts_is_as_before(self) -> None:
        """Guards against bytes and work where the configuration has no accounts."""
        row = ["base", "a1", 0, 2, 2.0, 1, 0, 10.0]
        data = encode(DemandUpdate([demand(1, waiting=2, running=1)], protocol=5))
        assert data == msgpack.packb([1, [row], 5, False, 0, 0])

    def test_an_older_agent_reads_the_demand(self) -> None:
        """It reads rows of eight fields and ignores what follows the fields it knows."""
        fields = msgpack.unpackb(encode(DemandUpdate([_claimed(2, (HOT, 1.0))])))
        assert [len(row) for row in fields[1]] == [8]
        assert decode(fields[:6]) == DemandUpdate([demand(2, waiting=1, utility=1.0)])

    def test_a_peer_that_names_many_accounts_costs_no_more(self) -> None:
        shares = [(Claim(AccountTag(number), 0), 1.0) for number in range(2, 100)]
        decoded = decode(msgpack.unpackb(encode(DemandUpdate([_claimed(2, *shares)]))))
        assert isinstance(decoded, DemandUpdate)
        assert len(decoded.demands[0].shares) == MAX_SHARES + 1

    def test_a_demand_has_one_message_size_for_any_number_of_accounts(self) -> None:
        sent: list[DemandUpdate] = []
        flushes = []
        tracker = DemandTracker(
            lambda key: Version(0), lambda upstream_id, update: sent.append(update), flushes.append
        )
        for number in range(100):
            claim = Claim(AccountTag(2 + number), 0)
            waiter = Waiter(adapter(1), UpstreamId("e1"), 1.0, math.inf, asyncio.Event(), claim)
            tracker.add_waiter(waiter)
        flushes[0]()
        assert len(sent[0].demands[0].shares) == MAX_SHARES + 1
        assert sum(share.utility for share in sent[0].demands[0].shares) == 100.0


class TestClaims:
    """What an agent knows of the accounts that wait."""

    def test_claims_end_with_the_gateway_that_reported_them(self) -> None:
        """A gateway that vanishes must not leave an account waiting for ever."""
        table: DemandTable[str] = DemandTable()
        table.apply("g1", _claimed(1, (HOT, 2.0)), NOW)
        table.apply("g2", _claimed(1, (HOT, 1.0), (OTHER, 1.0)), NOW)
        assert table.claims(NOW, frozenset()) == {adapter(1): {HOT: 3.0, OTHER: 1.0}}
        table.remove_gateway("g2")
        assert table.claims(NOW, frozenset()) == {adapter(1): {HOT: 2.0}}
        table.apply("g1", demand(1, running=1), NOW)
        assert table.claims(NOW, frozenset()) == {}


class TestLoadTurns:
    """The order of an engine's loads."""

    def _order(self, turns: LoadTurns, *demands: AdapterDemand) -> list[ModelAdapter]:
        table: DemandTable[str] = DemandTable()
        for item in demands:
            table.apply("g", item, NOW)
            turns.note_demand(item)
        totals = turns.apply(table.totals(NOW, frozenset()), table.claims(NOW, frozenset()))
        return sorted(totals, key=lambda key: -totals[key].utility)

    def test_an_account_that_is_ahead_waits_for_the_others(self) -> None:
        turns = LoadTurns(JsonLogger("agent"), Metrics())
        demands = (_claimed(1, (HOT, 3.0)), _claimed(2, (OTHER, 1.0)))
        assert self._order(turns, *demands) == [adapter(1), adapter(2)]
        for _ in range(20):
            turns.note_load(adapter(1), 0.25, 10)
        assert self._order(turns, *demands) == [adapter(2), adapter(1)]

    @pytest.mark.parametrize("claim", [HOT, None])
    def test_the_order_is_by_worth_with_one_account_or_none(self, claim: Claim | None) -> None:
        """Guards against turns that act without a second account."""
        turns = LoadTurns(JsonLogger("agent"), Metrics())
        shares = [[(claim, utility)] if claim else [] for utility in (3.0, 1.0)]
        demands = [
            dataclasses.replace(_claimed(number + 1, *share), waiting=1, utility=utility)
            for number, (share, utility) in enumerate(zip(shares, (3.0, 1.0), strict=True))
        ]
        for _ in range(20):
            assert self._order(turns, *demands) == [adapter(1), adapter(2)]
            turns.note_load(adapter(1), 0.25, 10)


class TestGivingWay:
    """An account's requests beyond its usual need at an upstream where others queue."""

    @pytest.mark.parametrize(
        ("in_flight", "standing", "key", "status"),
        [
            (100, NeedLevel.EXCESS, "key-1", 503),
            (100, NeedLevel.EXCESS, "key-3", 200),
            (0, NeedLevel.EXCESS, "key-1", 200),
            (100, NeedLevel.RAISED, "key-1", 503),
            (10, NeedLevel.RAISED, "key-1", 200),
        ],
        ids=["excess", "of another account", "room", "raised", "raised in a short queue"],
    )
    def test_only_the_excess_is_refused_and_at_once(
        self, in_flight: int, standing: NeedLevel, key: str, status: int
    ) -> None:
        async def scenario() -> tuple[Answer, float]:
            async with running_deployment(engines=0, plain=1) as deployment:
                await publish(deployment, with_accounts())
                gateway = deployment.gateways[0].gateway
                branch = account_tag(AccountName("branch"))
                gateway.note_claim = lambda claim, *_: (
                    standing if claim.account == branch else NeedLevel.USUAL
                )
                gateway.table.views[UpstreamId("p0")].in_flight = in_flight
                start = asyncio.get_running_loop().time()
                answer = await deployment.call("/book/1", headers={"Api-Key": key})
                return answer, asyncio.get_running_loop().time() - start

        answer, seconds = asyncio.run(scenario())
        assert answer.status == status
        if status == 503:
            assert b"account_share" in answer.body
            assert seconds < 0.2


class TestExcessBehindABacklog:
    """An account's requests beyond its usual need where an adapter has to be loaded."""

    @pytest.mark.parametrize(
        ("is_awaited", "waited_s", "is_refused"),
        [(False, 0.0, True), (True, 0.0, False), (False, 0.25, False)],
        ids=["last", "awaited by others", "has waited"],
    )
    def test_only_what_adds_to_the_backlog_is_refused(
        self, is_awaited: bool, waited_s: float, is_refused: bool
    ) -> None:
        """Guards against refusals that free no slot, or come after the wait for one."""

        async def scenario() -> Reason | None:
            async with running_deployment(engines=1, plain=0) as deployment:
                gateway = deployment.gateways[0].gateway
                run = _excess_run(deployment)
                target = run._request_info.target
                assert target is not None
                view = gateway.table.views[UpstreamId("e0")]
                view.backlog = 50
                view.loading_or_awaited = frozenset({target} if is_awaited else ())
                run.progress.waited_s = waited_s
                now = time.monotonic()
                try:
                    run._give_way_if_late(view, now + 1.0, now)
                except RefusedError as error:
                    return error.reason
                return None

        assert asyncio.run(scenario()) == (Reason.ACCOUNT_SHARE if is_refused else None)

    def test_a_request_whose_adapter_was_loaded_is_sent(self) -> None:
        """Guards against loads that are thrown away."""

        async def scenario() -> None:
            async with running_deployment(engines=1, plain=0) as deployment:
                run = _excess_run(deployment)
                view = deployment.gateways[0].gateway.table.views[UpstreamId("e0")]
                view.in_flight = 100
                now = time.monotonic()
                with pytest.raises(RefusedError):
                    run._give_way_if_full(view, now)
                run.progress.waited_s = 0.25
                run._give_way_if_full(view, now)

        asyncio.run(scenario())


class _Responder:
    is_started = False


def _excess_run(deployment: InProcessDeployment) -> RequestRun:
    gateway = deployment.gateways[0].gateway
    gateway.note_claim = lambda claim, *_: NeedLevel.EXCESS  # type: ignore[method-assign]
    named = deployment.client_fields("/ask/1", "a1", 1500, (10, 10))
    call = client_call("POST", "/ask/1", named, b"")
    fields = {name.lower(): value for name, value in call.headers}
    request = ClientRequest(b"POST", b"/ask/1", call.headers, fields, b"", time.monotonic())
    configuration = gateway.catalogue.configuration
    assert configuration is not None
    route = configuration.find_route(HOST, "/ask/1")
    assert route is not None
    return RequestRun(
        gateway,
        request,
        codec.decode_request(request.fields),
        route,
        route.shares[0].service,
        ClientAccount(AccountName("branch")),
        _Responder(),  # type: ignore[arg-type]
    )
