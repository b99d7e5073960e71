"""Seeded soak of limited upstreams in virtual time: limits, restarts, dark VMs, lost messages.

The oracle counts what the upstreams see. A planted violation shows that it can fail.
"""

import asyncio
import dataclasses
import random
from collections.abc import Sequence

import pytest

from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.gateway.daemon import GatewayDaemon
from dragonflyhold.gateway.messages import LimitUpdate, PermitReply
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from tests.gateway.soak import CONTACT_S, Fault, Soak

ADAPTERS = 8
# The platform's window; see ``test_upstream_limits``.
WINDOW_S = 4.0


@dataclasses.dataclass
class Limit:
    """A limit that an upstream stated, in requests a second, between two times."""

    upstream: UpstreamStandIn
    per_s: float
    start: float
    end: float


class LimitSoak(Soak):
    """One run in which upstreams state limits."""

    lost_messages = (LimitUpdate, PermitReply)

    def __init__(self, seed: int, keeps_limits: bool = True) -> None:
        super().__init__(seed)
        self.limits: list[Limit] = []
        self._keeps_limits = keeps_limits

    def find_violations(self) -> list[str]:
        """Return where upstreams got too many requests from gateways in touch."""
        violations = []
        for limit in self.limits:
            arrivals = list(zip(limit.upstream.arrivals, limit.upstream.arrival_ids, strict=True))
            for end, last in arrivals:
                if not limit.start + CONTACT_S <= end <= limit.end:
                    continue
                # A span counts from its last request on, so a gateway that doesn't count ends none.
                if not self.is_in_touch(self.sent[last].gateway, end):
                    continue
                count = sum(
                    end - WINDOW_S < at <= end and self.is_in_touch(self.sent[number].gateway, end)
                    for at, number in arrivals
                )
                if count > 1.5 * limit.per_s * WINDOW_S + 5:
                    name = limit.upstream.upstream_id
                    violations.append(
                        f"{name}: {count} requests at {limit.per_s} a second, {end:.3f}"
                    )
        return violations

    def _fault_kinds(self) -> Sequence[Fault]:
        return (
            self._state_limit,
            self._state_limit,
            self._restart_gateway,
            self._restart_agent,
            self._cut_engine,
            self._cut_gateway,
            self._lose_messages,
        )

    async def _add_gateway(self) -> GatewayDaemon:
        gateway = await super()._add_gateway()
        if not self._keeps_limits:

            async def acquire(view: object) -> bool:
                del view
                return True

            gateway.gateway.permits.acquire = acquire  # type: ignore[method-assign]
        return gateway

    async def _send(self) -> None:
        if self._rng.random() < 0.5:
            await self._call("/ask/1", f"a{self._rng.randrange(ADAPTERS)}", {})
        else:
            await self._call("/read/1", "", {})

    async def _state_limit(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        upstream = self._rng.choice(list(self.deployment.upstreams.values()))
        if upstream.limit_per_s is not None:
            return
        until = min(end, loop.time() + self._rng.uniform(4.0, 10.0))
        limit = Limit(upstream, round(self._rng.uniform(0.5, 8.0), 1), loop.time(), until)
        self.limits.append(limit)
        upstream.limit_per_s = limit.per_s
        await asyncio.sleep(until - loop.time())
        upstream.limit_per_s = None


def play(seed: int, keeps_limits: bool = True) -> LimitSoak:
    """Return a run."""

    async def scenario() -> LimitSoak:
        soak = LimitSoak(seed, keeps_limits)
        await soak.run()
        return soak

    random.seed(seed)
    return run_virtual(scenario())


class TestLimitSoak:
    """Guards against limits that are exceeded beside restarts, cuts and lost messages."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_limits_are_kept_and_service_recovers(self, seed: int) -> None:
        soak = play(seed)
        assert soak.find_violations() == [], soak.faults
        assert soak.served_at_end >= 0.95, soak.faults

    def test_the_oracle_finds_gateways_that_keep_no_limit(self) -> None:
        assert play(1, keeps_limits=False).find_violations()
