"""Known peers and the selection of the next one to compare with; no I/O."""

import dataclasses
import math
import random
from collections.abc import Callable, Iterable
from typing import final

from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import DataCentre, Region

# Entry daemons are known only from their calls; each calls some peer about once a second.
CALLING_PEER_TTL_S = 600.0
MAX_CALLING_PEERS = 4_096
# Probabilities of choosing a peer in another region, and a seed whose data centre is unknown.
OTHER_REGION_PROBABILITY = 0.25
SEED_PROBABILITY = 0.1
# Most compares use an open channel, because opening one costs several times as much as a compare.
# The rest changes the set of channels slowly, so that eventually every daemon is contacted.
NEW_PEER_PROBABILITY = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _CallingPeer:
    data_centre: DataCentre
    last_seen_at: float


@final
class PeerDirectory:
    """Addresses of peers and their data centres; not thread-safe."""

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
        self._calling_peers: dict[str, _CallingPeer] = {}
        self._region_data_centres: set[DataCentre] = {data_centre}
        self._last_attempt_at: dict[DataCentre, float] = {}
        # Data centres of seeds, as stated in their replies.
        self._seed_data_centres: dict[str, DataCentre] = {}

    def update(self, state: ConfigState) -> None:
        """Update the peers that are sidecars of upstreams in the configuration."""
        self._upstreams = {
            upstream.sidecar_address: upstream.data_centre
            for upstream in state.upstreams()
            if upstream.sidecar_address != self._own_address
        }
        self._region_data_centres = state.data_centres(self._region) | {self._data_centre}

    def record_calling_peer(self, address: str, data_centre: DataCentre, now: float) -> None:
        """Record a peer that called this daemon."""
        if not address or address == self._own_address or address in self._upstreams:
            return
        self._calling_peers.pop(address, None)
        self._calling_peers[address] = _CallingPeer(data_centre, now)
        while len(self._calling_peers) > MAX_CALLING_PEERS:
            del self._calling_peers[next(iter(self._calling_peers))]

    def record_reply(self, address: str, data_centre: DataCentre) -> None:
        """Record the data centre that a peer stated in its reply."""
        if address in self._seeds:
            self._seed_data_centres[address] = data_centre

    def peers(self, now: float) -> dict[str, DataCentre]:
        """Return the known peers, without seeds whose data centre is unknown."""
        peers = {
            address: peer.data_centre
            for address, peer in self._calling_peers.items()
            if now - peer.last_seen_at <= CALLING_PEER_TTL_S
        }
        return peers | self._seed_data_centres | self._upstreams

    def processes(self, now: float) -> int:
        """Return the number of known daemons, including this one."""
        return len(self.peers(now)) + 1

    def choose(
        self,
        now: float,
        contact_age_s: Callable[[DataCentre], float],
        open_addresses: Iterable[str] = (),
    ) -> str | None:
        """Return the next peer to compare with.

        The data centre whose latest contact or attempt is the longest ago comes first. Attempts
        count, so that a data centre that is down is not chosen every time.
        """
        peers = self.peers(now)
        unknown = [seed for seed in self._seeds if seed not in peers]
        if unknown and (not peers or self._rng.random() < SEED_PROBABILITY):
            return self._rng.choice(unknown)
        if not peers:
            return None
        groups = self._candidate_groups(peers)
        data_centre = self._choose_data_centre(groups, now, contact_age_s)
        self._last_attempt_at[data_centre] = now
        return self._choose_address(groups[data_centre], open_addresses)

    def in_data_centre(self, data_centre: DataCentre, now: float, limit: int) -> list[str]:
        """Return up to ``limit`` random peers of a data centre."""
        peers = self.peers(now)
        addresses = sorted(address for address, name in peers.items() if name == data_centre)
        return self._rng.sample(addresses, min(limit, len(addresses)))

    def push_targets(self, now: float, fanout: int) -> list[str]:
        """Return peers to announce a new revision to, from the own and other data centres."""
        peers = self.peers(now)
        own = sorted(address for address, name in peers.items() if name == self._data_centre)
        others = sorted(peers.keys() - set(own))
        own_sample = self._rng.sample(own, min(fanout, len(own)))
        other_sample = self._rng.sample(others, min(max(fanout - len(own_sample), 1), len(others)))
        return (own_sample + other_sample) if fanout else []

    def data_centres(self, now: float) -> set[DataCentre]:
        """Return the data centres of all known peers."""
        return set(self.peers(now).values())

    def _candidate_groups(self, peers: dict[str, DataCentre]) -> dict[DataCentre, list[str]]:
        groups: dict[DataCentre, list[str]] = {}
        for address in sorted(peers):
            groups.setdefault(peers[address], []).append(address)
        own = {name: group for name, group in groups.items() if name in self._region_data_centres}
        others = {name: group for name, group in groups.items() if name not in own}
        if own and others:
            return others if self._rng.random() < OTHER_REGION_PROBABILITY else own
        return own or others

    def _choose_data_centre(
        self,
        groups: dict[DataCentre, list[str]],
        now: float,
        contact_age_s: Callable[[DataCentre], float],
    ) -> DataCentre:
        def idle_s(name: DataCentre) -> float:
            since_attempt_s = now - self._last_attempt_at.get(name, -math.inf)
            return min(contact_age_s(name), since_attempt_s)

        longest_idle_s = max(idle_s(name) for name in groups)
        return self._rng.choice([name for name in sorted(groups) if idle_s(name) >= longest_idle_s])

    def _choose_address(self, group: list[str], open_addresses: Iterable[str]) -> str:
        open_group = sorted(set(open_addresses).intersection(group))
        if open_group and self._rng.random() >= NEW_PEER_PROBABILITY:
            return self._rng.choice(open_group)
        return self._rng.choice(group)
