"""Seeded soak in virtual time of sound engines that fall silent for a second or so and go on."""

import asyncio
import random
from collections.abc import Sequence

import pytest

from dragonflyhold.bench.virtual_time import VirtualLoop, run_virtual
from dragonflyhold.platform.standins.site import configuration
from tests.gateway.soak import Fault, Soak

TIME_LIMIT_MS = 8000
# More adapters than slots, so that often no other engine can start a request.
ADAPTERS = 12
EVENTS = 20


class PauseSoak(Soak):
    """One run in which engines with their agents pause, also several at once, beside changes."""

    run_s = 20.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._version = 1

    @property
    def cut_answers(self) -> list[str]:
        """Return the ids of requests that got neither a whole answer nor a refusal."""
        return [number for number, sent in self.sent.items() if sent.status == 0]

    def _fault_kinds(self) -> Sequence[Fault]:
        return (self._pause, self._pause, self._change_configuration)

    async def _pause(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        engine = self._rng.choice(list(self.deployment.upstreams.values()))
        ip = engine.address.rpartition(":")[0]
        loop.network.make_unreachable(ip)
        await asyncio.sleep(min(self._rng.uniform(0.4, 1.6), end - loop.time()))
        loop.network.make_reachable(ip)

    async def _change_configuration(self, end: float) -> None:
        del end
        self._version += 1
        fields = configuration(self._version)
        for route in fields["routes"]:
            route["timeout_ms"] = TIME_LIMIT_MS
        self.deployment.store.put("op", "config", fields)

    async def _send(self) -> None:
        for upstream in self.deployment.upstreams.values():
            upstream.events, upstream.event_interval_s = EVENTS, 0.02
        if self._version == 1:
            await self._change_configuration(0.0)
        path = self._rng.choice(["/ask/1", "/draft/1", "/read/1"])
        adapter = "" if path == "/read/1" else f"a{self._rng.randrange(ADAPTERS)}"
        await self._call(path, adapter, {"Deadline-Remaining": str(TIME_LIMIT_MS)})


def play(seed: int) -> PauseSoak:
    """Return a run."""

    async def scenario() -> PauseSoak:
        soak = PauseSoak(seed)
        await soak.run()
        return soak

    random.seed(seed)
    return run_virtual(scenario())


class TestPauseSoak:
    """Guards against answers that end because a sound upstream was silent."""

    # Seeds 32 and 38: the upstream to which a stream moved had evicted the adapter.
    @pytest.mark.parametrize("seed", [1, 2, 3, 32, 38])
    def test_each_request_gets_a_whole_answer_or_a_refusal(self, seed: int) -> None:
        soak = play(seed)
        assert soak.cut_answers == [], soak.faults
        assert soak.served_at_end >= 0.95, soak.faults
