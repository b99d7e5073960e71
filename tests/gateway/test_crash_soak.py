"""Seeded soak of prompts that crash engines, in virtual time: restarts, dark VMs, lost messages.

The oracle counts what the engines see. Planted violations show that it can fail.
"""

import asyncio
import enum
import random
from collections.abc import Sequence

import pytest

from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.gateway.crash_evidence import RequestTraits
from dragonflyhold.gateway.daemon import GatewayDaemon
from dragonflyhold.gateway.messages import CrashDigest, CrashUpdate
from tests.gateway.soak import CALM_S, CONTACT_S, GATEWAYS, Fault, Soak, overlaps

ADAPTERS = 6
FIRST_PARTS = ("f0", "f1")
SHARED_PARTS = tuple(f"c{number}" for number in range(12))
CRASHING_PART = "bad"
# Time from the start of a run until requests with the crashing part come.
QUIET_S = 4.0
CRASHING_SHARE = 0.15
COUNTED_CRASHES = 5
MAX_LATER_REQUESTS = 3
MIN_REQUESTS = 20


class Planted(enum.Enum):
    """A violation that the oracle must find."""

    NOTHING_REFUSED = "nothing refused"
    ALL_REFUSED = "all refused once a part is known"


class CrashSoak(Soak):
    """One run in which requests that differ share a part on which engines crash."""

    engines = 5
    plain = 0
    run_s = 30.0
    lost_messages = (CrashUpdate, CrashDigest)

    def __init__(self, seed: int, planted: Planted | None = None) -> None:
        super().__init__(seed)
        self.crashing: set[str] = set()
        # Ids of the other requests, by their first part.
        self.sound: dict[str, str] = {}
        self.quiet_until = 0.0
        # Times at which gateways and agents were all restarted.
        self.all_restarted_at: list[float] = []
        # Times of the crashes that faults caused.
        self.other_crashes: set[float] = set()
        self._planted = planted
        self._crashes_until = 0.0

    @property
    def crash_times(self) -> list[float]:
        """Return the times of the crashes of engines by requests."""
        engines = self.deployment.upstreams.values()
        times = (at for engine in engines for at in engine.crash_times)
        return sorted(at for at in times if at not in self.other_crashes)

    def find_violations(self) -> list[str]:
        """Return which of the platform's rules on crashing parts were broken."""
        if len(self.crash_times) < COUNTED_CRASHES:
            return []
        fifth_at = self.crash_times[COUNTED_CRASHES - 1]
        later = [
            at
            for engine in self.deployment.upstreams.values()
            for at, number in zip(engine.arrivals, engine.arrival_ids, strict=True)
            if number in self.crashing
            and at > fifth_at + CONTACT_S
            and self._may_be_told(self.sent[number].gateway, at)
        ]
        violations = []
        if len(later) > MAX_LATER_REQUESTS:
            violations.append(f"{len(later)} requests with the part after {fifth_at:.3f}: {later}")
        for first in FIRST_PARTS:
            before = self._served(first, 0.0, self.quiet_until)
            after = self._served(first, fifth_at + 2 * CONTACT_S, self._crashes_until)
            if min(len(before), len(after)) >= MIN_REQUESTS:
                share, usual = (times.count(True) / len(times) for times in (after, before))
                if share < usual / 2:
                    violations.append(f"{share:.2f} of the sound requests with {first} served")
        return violations

    def _served(self, first: str, start: float, end: float) -> list[bool]:
        return [
            self.sent[number].status == 200
            for number, part in self.sound.items()
            if part == first and start <= self.sent[number].at < end
        ]

    def _may_be_told(self, gateway: GatewayDaemon, at: float) -> bool:
        start = at - CONTACT_S
        restarts = [restarted for restarted in self.all_restarted_at if restarted <= at]
        return (
            self.is_in_touch(gateway, at)
            and not overlaps(self.missed[gateway], start, at)
            and not any(start < self._restored_at(restarted) for restarted in restarts)
        )

    def _restored_at(self, restarted_at: float) -> float:
        """Return from when on the store can tell what was lost with all other processes."""
        lost = (until for since, until in self.store_lost if since <= restarted_at < until)
        return max(lost, default=restarted_at)

    async def run(self) -> None:
        """Run the deployment; engines crash until the calm time."""
        loop = asyncio.get_running_loop()
        self._crashes_until = loop.time() + self.run_s - CALM_S
        self.quiet_until = loop.time() + QUIET_S
        await super().run()

    def _fault_kinds(self) -> Sequence[Fault]:
        return (
            self._restart_gateway,
            self._restart_gateway,
            self._restart_agent,
            self._cut_engine,
            self._cut_gateway,
            self._lose_store,
            self._lose_messages,
            self._crash_engine,
            self._restart_all,
        )

    async def _inject_faults(self, end: float) -> None:
        for engine in self.deployment.upstreams.values():
            engine.crashing_parts = frozenset({CRASHING_PART})
            engine.frames_streams = self._rng.random() < 0.7
        await asyncio.sleep(QUIET_S)
        await super()._inject_faults(end)

    async def _add_gateway(self) -> GatewayDaemon:
        gateway = await super()._add_gateway()
        quarantine = gateway.gateway.quarantine
        match self._planted:
            case Planted.NOTHING_REFUSED:

                def refuse_nothing(traits: RequestTraits) -> bool:
                    del traits
                    return False

                quarantine.is_refused = refuse_nothing  # type: ignore[method-assign]
            case Planted.ALL_REFUSED:

                def refuse_all(traits: RequestTraits) -> bool:
                    del traits
                    return bool(quarantine.size)

                quarantine.is_refused = refuse_all  # type: ignore[method-assign]
            case None:
                pass
        return gateway

    async def _send(self) -> None:
        now, number = asyncio.get_running_loop().time(), f"s{len(self.sent)}"
        first = FIRST_PARTS[self._rng.random() < 0.2]
        parts = [first, self._rng.choice(SHARED_PARTS)]
        if self.quiet_until <= now < self._crashes_until and self._rng.random() < CRASHING_SHARE:
            self.crashing.add(number)
            parts.insert(self._rng.randrange(1, 3), CRASHING_PART)
        else:
            self.sound[number] = first
        prefix = ",".join(f"{part}:50" for part in (*parts, number))
        path = f"/{'ask' if self._rng.random() < 0.8 else 'draft'}/{number}"
        adapter = f"a{self._rng.randrange(ADAPTERS)}"
        await self._call(path, adapter, {"Prompt-Prefix": prefix})

    async def _crash_engine(self, end: float) -> None:
        del end
        engine = self._rng.choice(list(self.deployment.upstreams.values()))
        if engine.is_running:
            engine.crash()
            self.other_crashes.add(engine.crash_times[-1])

    async def _restart_all(self, end: float) -> None:
        """Restart all gateways and agents at once; only the store keeps what it knows."""
        loop = asyncio.get_running_loop()
        if len(self.deployment.gateways) < GATEWAYS or end - loop.time() < CONTACT_S:
            return
        gateways, self.deployment.gateways = self.deployment.gateways, []
        agents, self.deployment.agents = self.deployment.agents, {}
        for daemon in (*gateways, *agents.values()):
            await daemon.close()
        for name in agents:
            await self._start_agent(name)
        for _ in gateways:
            await self._add_gateway()
        self.all_restarted_at.append(loop.time())


def play(seed: int, planted: Planted | None = None) -> CrashSoak:
    """Return a run."""

    async def scenario() -> CrashSoak:
        soak = CrashSoak(seed, planted)
        await soak.run()
        return soak

    random.seed(seed)
    return run_virtual(scenario())


class TestCrashSoak:
    """Guards against crashing parts that get through beside restarts, cuts and lost messages."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_few_crashing_requests_reach_engines_and_sound_ones_go_on(self, seed: int) -> None:
        soak = play(seed)
        assert len(soak.crash_times) >= COUNTED_CRASHES
        assert soak.find_violations() == [], soak.faults
        assert soak.served_at_end >= 0.95, soak.faults

    def test_the_oracle_finds_gateways_that_refuse_nothing(self) -> None:
        assert any(
            "with the part" in text for text in play(1, Planted.NOTHING_REFUSED).find_violations()
        )

    def test_the_oracle_finds_gateways_that_refuse_sound_requests(self) -> None:
        assert any(
            "sound requests" in text for text in play(1, Planted.ALL_REFUSED).find_violations()
        )
