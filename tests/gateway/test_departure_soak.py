"""Seeded soak of upstreams that leave without notice, beside outages that let entries expire.

Upstreams leave by the removal of their entry alone. Outages of the store, in some of which entries
expire, cuts and restarts of gateways come in series and overlap. The oracle looks for requests that
reach an upstream too late, and for sound upstreams that a gateway has lost. Planted violations show
that it can fail.
"""

import asyncio
import random
from collections.abc import Sequence
from unittest import mock

import pytest

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.gateway import store_contact
from dragonflyhold.gateway.daemon import GatewayDaemon
from dragonflyhold.gateway.store_contact import StoreContact
from dragonflyhold.platform.standins.store import StoreFault
from tests.gateway.soak import CONTACT_S, Fault, Soak, overlaps

DRAIN_S = 2.0
CHECK_IN_S = 1.2
# Silence after which the store removes an entry, also while it does not answer.
EXPIRY_S = 3 * CHECK_IN_S
# Time on the network and in the gateway that a request may take beyond a bound.
TRANSIT_S = 0.05
SAMPLE_S = 0.05
LONGEST_OUTAGE_S = 6.0
SEEDS = range(1, 7)


class DepartureSoak(Soak):
    """One run; the seed determines what is disturbed and who leaves."""

    engines = 0
    plain = 4
    run_s = 40.0
    longest_cut_s = LONGEST_OUTAGE_S

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.violations: list[str] = []
        self.departures: dict[str, float] = {}
        # How often an entry expired whose upstream is sound.
        self.expired = 0
        self._is_store_busy = False

    async def run(self) -> None:
        """Run beside the upstreams' renewals and the oracle."""
        loop = asyncio.get_running_loop()
        background = [loop.create_task(work()) for work in (self._check_in, self._watch)]
        try:
            await super().run()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        self._check_arrivals()

    def _fault_kinds(self) -> Sequence[Fault]:
        return (
            self._leave,
            self._leave,
            self._restart_gateway,
            self._cut_gateway,
            self._cut_gateway,
            self._lose_store,
        )

    async def _send(self) -> None:
        await self._call(self._rng.choice(["/read/1", "/book/1"]), "", {})

    async def _leave(self, end: float) -> None:
        """Let an upstream leave without notice, once another one has joined."""
        loop = asyncio.get_running_loop()
        if self._is_store_busy or loop.time() > end - DRAIN_S - 1.0:
            return
        staying = [name for name in self.deployment.upstreams if name not in self.departures]
        name = self._rng.choice(staying)
        self.departures[name] = loop.time()
        self.deployment.store.remove("servers", name)
        number = len(self.deployment.upstreams)
        ip = f"10.3.0.{number + 1}"
        await create_task_on_vm(ip, self.deployment.add_plain(f"p{number}", host=ip))

    async def _lose_store(self, end: float) -> None:
        loop, store = asyncio.get_running_loop(), self.deployment.store
        if self._is_store_busy:
            return
        self._is_store_busy = True
        start = loop.time()
        back_at = min(start + self._rng.uniform(0.3, LONGEST_OUTAGE_S), max(start, end))
        store.fault = self._rng.choice([StoreFault.REFUSING, StoreFault.UNRESPONSIVE])
        store.reset_connections()
        lapses_at = start + EXPIRY_S - self._rng.uniform(0, CHECK_IN_S)
        if lapses_at < back_at and self._rng.random() < 0.7:
            await asyncio.sleep(lapses_at - loop.time())
            for name in sorted(store.keys("servers")):
                store.remove("servers", name)
                self.expired += 1
        await asyncio.sleep(max(0.0, back_at - loop.time()))
        store.fault = StoreFault.NONE
        self._is_store_busy = False
        self.store_lost.append((start, loop.time()))

    async def _check_in(self) -> None:
        """Renew entries, each upstream at its own time; what has not expired does not change."""
        loop = asyncio.get_running_loop()
        due: dict[str, float] = {}
        while True:
            await asyncio.sleep(SAMPLE_S)
            for name, upstream in self.deployment.upstreams.items():
                first_at = loop.time() + self._rng.uniform(0, CHECK_IN_S)
                if loop.time() < due.setdefault(name, first_at):
                    continue
                due[name] = loop.time() + CHECK_IN_S
                is_missing = name not in self.deployment.store.keys("servers")
                if is_missing and name not in self.departures and not self._is_store_busy:
                    self.deployment.store.put("servers", name, upstream.entry())

    async def _watch(self) -> None:
        """Look for sound upstreams that a gateway knew and has lost."""
        loop = asyncio.get_running_loop()
        known: dict[GatewayDaemon, set[str]] = {}
        while True:
            await asyncio.sleep(SAMPLE_S)
            for gateway in self.deployment.gateways:
                views = {str(name) for name in gateway.gateway.table.views}
                lost = known.setdefault(gateway, set()) - views - self.departures.keys()
                known[gateway] = views
                for name in sorted(lost):
                    self.violations.append(
                        f"{loop.time():.2f} {gateway._settings.ip} has lost {name}"
                    )

    def _check_arrivals(self) -> None:
        """Look for requests that a gateway in touch sent to an upstream that had left."""
        for name, left_at in self.departures.items():
            if overlaps(self.store_lost, left_at - CONTACT_S, left_at):
                continue
            upstream = self.deployment.upstreams[name]
            for at, number in zip(upstream.arrivals, upstream.arrival_ids, strict=True):
                gateway, sent_at = self.sent[number].gateway, at - TRANSIT_S
                is_calm = not overlaps(self.store_lost, sent_at - CONTACT_S, sent_at)
                if sent_at > left_at + DRAIN_S and is_calm and self.is_in_touch(gateway, sent_at):
                    self.violations.append(
                        f"{at:.2f} {gateway._settings.ip} sends to {name}, gone at {left_at:.2f}"
                    )


def play(seed: int) -> DepartureSoak:
    """Return a run."""

    async def scenario() -> DepartureSoak:
        soak = DepartureSoak(seed)
        await soak.run()
        return soak

    random.seed(seed)
    return run_virtual(scenario())


class TestDepartureSoak:
    """Guards against requests to upstreams that have left, and against the loss of sound ones."""

    # Seeds 145 and 214: a call that was answered late ended the doubt too soon. Seeds 321 and 345:
    # a gateway that was cut off in the doubt believed its last read.
    @pytest.mark.parametrize("seed", [*SEEDS, 145, 214, 321, 345])
    def test_only_what_has_left_is_dropped_and_in_time(self, seed: int) -> None:
        soak = play(seed)
        assert soak.violations == [], soak.faults
        assert len(soak.departures) > 1, soak.faults
        assert soak.served_at_end >= 0.95, soak.faults

    def test_the_seeds_let_entries_expire(self) -> None:
        assert sum(play(seed).expired for seed in SEEDS) > len(SEEDS)

    def test_the_oracle_finds_upstreams_that_are_kept_for_too_long(self) -> None:
        late = mock.patch.multiple(store_contact, RETURN_GRACE_S=6.0, BINDING_MARGIN_S=-6.0)
        doubting = mock.patch.object(StoreContact, "may_have_expired", return_value=True)
        with late, doubting:
            assert any("sends to" in text for seed in SEEDS for text in play(seed).violations)

    def test_the_oracle_finds_upstreams_that_are_dropped_too_soon(self) -> None:
        with mock.patch.object(StoreContact, "may_have_expired", return_value=False):
            assert any("has lost" in text for seed in SEEDS for text in play(seed).violations)
