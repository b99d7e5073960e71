"""Known peers and the choice of the next one to compare with; no I/O."""

import dataclasses
import math
import random
from collections.abc import Callable, Iterable
from typing import final

from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import DataCentre, Region

# Entries are known only from their own calls; each makes one in a second to some peer.
CALLER_TTL_S = 600.0
MAX_CALLERS = 4_096
# Part of the choices that go to other regions, and to seeds of unknown data centre.
OTHER_REGION_SHARE = 0.25
SEED_SHARE = 0.1
# Most choices keep to peers with an open channel: a new one costs several times a compare. The
# rest changes the set slowly, so that every daemon is reached from others in the long run.
NEW_PEER_SHARE = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    data_centre: DataCentre
    seen: float


@final
class PeerDirectory:
    """Addresses of peers per data centre; not safe for use from several threads."""

    def __init__(
        self,
        region: Region,
        data_centre: DataCentre,
        own_address: str,
        seeds: Iterable[str],
        rng: random.Random,
    ) -> None:
        self._region = region
        self._data_centre = data_centre
        self._own_address = own_address
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._rng = rng
        self._upstreams: dict[str, DataCentre] = {}
        self._callers: dict[str, _Caller] = {}
        self._region_data_centres: set[DataCentre] = {data_centre}
        self._tried: dict[DataCentre, float] = {}
        # Data centres of seeds, learned from their replies.
        self._learned: dict[str, DataCentre] = {}

    def update(self, state: ConfigState) -> None:
        """Take the upstreams' sidecars from the configuration."""
        self._upstreams = {
            upstream.sidecar_address: upstream.data_centre
            for upstream in state.upstreams()
            if upstream.sidecar_address != self._own_address
        }
        self._region_data_centres = state.data_centres(self._region) | {self._data_centre}

    def record_caller(self, address: str, data_centre: DataCentre, now: float) -> None:
        """Note a peer that called."""
        if not address or address == self._own_address or address in self._upstreams:
            return
        self._callers.pop(address, None)
        self._callers[address] = _Caller(data_centre, now)
        while len(self._callers) > MAX_CALLERS:
            del self._callers[next(iter(self._callers))]

    def record_reply(self, address: str, data_centre: DataCentre) -> None:
        """Note the data centre that a peer named in its reply."""
        if address in self._seeds:
            self._learned[address] = data_centre

    def peers(self, now: float) -> dict[str, DataCentre]:
        """Return the known peers, without seeds of unknown data centre."""
        peers = {
            address: caller.data_centre
            for address, caller in self._callers.items()
            if now - caller.seen <= CALLER_TTL_S
        }
        return peers | self._learned | self._upstreams

    def processes(self, now: float) -> int:
        """Return the number of known daemons with this one."""
        return len(self.peers(now)) + 1

    def choose(
        self,
        now: float,
        contact_age: Callable[[DataCentre], float],
        open_addresses: Iterable[str] = (),
    ) -> str | None:
        """Return the next peer to compare with.

        The data centre with the oldest contact comes first, but no sooner than the others after a
        try, so that one that is down does not take all tries.
        """
        peers = self.peers(now)
        unknown = [seed for seed in self._seeds if seed not in peers]
        if unknown and (not peers or self._rng.random() < SEED_SHARE):
            return self._rng.choice(unknown)
        if not peers:
            return None
        groups = self._group(peers)
        data_centre = self._choose_data_centre(groups, now, contact_age)
        self._tried[data_centre] = now
        return self._choose_in(groups[data_centre], open_addresses)

    def in_data_centre(self, data_centre: DataCentre, now: float, limit: int) -> list[str]:
        """Return up to ``limit`` random peers of a data centre."""
        peers = self.peers(now)
        addresses = sorted(address for address, name in peers.items() if name == data_centre)
        return self._rng.sample(addresses, min(limit, len(addresses)))

    def push_targets(self, now: float, fanout: int) -> list[str]:
        """Return peers to pass a new revision on to: of the own data centre, and any."""
        peers = self.peers(now)
        own = sorted(address for address, name in peers.items() if name == self._data_centre)
        others = sorted(peers.keys() - set(own))
        near = self._rng.sample(own, min(fanout, len(own)))
        far = self._rng.sample(others, min(max(fanout - len(near), 1), len(others)))
        return (near + far) if fanout else []

    def data_centres(self, now: float) -> set[DataCentre]:
        """Return the data centres of all known peers."""
        return set(self.peers(now).values())

    def _group(self, peers: dict[str, DataCentre]) -> dict[DataCentre, list[str]]:
        groups: dict[DataCentre, list[str]] = {}
        for address in sorted(peers):
            groups.setdefault(peers[address], []).append(address)
        own = {name: group for name, group in groups.items() if name in self._region_data_centres}
        others = {name: group for name, group in groups.items() if name not in own}
        if own and others:
            return others if self._rng.random() < OTHER_REGION_SHARE else own
        return own or others

    def _choose_data_centre(
        self,
        groups: dict[DataCentre, list[str]],
        now: float,
        contact_age: Callable[[DataCentre], float],
    ) -> DataCentre:
        def waited(name: DataCentre) -> float:
            tried = now - self._tried.get(name, -math.inf)
            return min(contact_age(name), tried)

        longest = max(waited(name) for name in groups)
        return self._rng.choice([name for name in sorted(groups) if waited(name) >= longest])

    def _choose_in(self, group: list[str], open_addresses: Iterable[str]) -> str:
        open_group = sorted(set(open_addresses).intersection(group))
        if open_group and self._rng.random() >= NEW_PEER_SHARE:
            return self._rng.choice(open_group)
        return self._rng.choice(group)
