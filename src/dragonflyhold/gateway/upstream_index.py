"""Indexes of the known upstreams, so that a decision does not look at all of them."""

import heapq
from collections.abc import Hashable, Iterable, Sequence
from typing import TypeVar, final

from dragonflyhold.balancing import weighted_score
from dragonflyhold.gateway.model import ModelAdapter
from dragonflyhold.gateway.upstream_view import UpstreamView
from dragonflyhold.hashing import hash64
from dragonflyhold.ids import ServiceName, Version

# Upstreams kept of an adapter's ranking; more are available if the first ones are not.
RANKING_LENGTH = 16
# Rankings kept at a time; the cache is emptied when it is full.
MAX_RANKINGS = 4096

Key = TypeVar("Key", bound=Hashable)


@final
class UpstreamIndex:
    """Upstreams by VM, service, resident adapter and adapter that requests wait for."""

    def __init__(self) -> None:
        self._by_ip: dict[str, list[UpstreamView]] = {}
        self._by_service: dict[ServiceName, list[UpstreamView]] = {}
        self._holders: dict[ModelAdapter, list[UpstreamView]] = {}
        self._awaited: dict[ModelAdapter, list[UpstreamView]] = {}
        self._rankings: dict[tuple[ServiceName, ModelAdapter], Sequence[UpstreamView]] = {}

    def add(self, view: UpstreamView) -> None:
        """Add an upstream with its adapters."""
        self._by_ip.setdefault(view.ip, []).append(view)
        self._by_service.setdefault(view.upstream.service, []).append(view)
        _add_all(self._holders, view.resident, view)
        _add_all(self._awaited, view.loading_or_awaited, view)
        self._rankings.clear()

    def remove(self, view: UpstreamView) -> None:
        """Remove an upstream with its adapters."""
        _remove_all(self._by_ip, (view.ip,), view)
        _remove_all(self._by_service, (view.upstream.service,), view)
        _remove_all(self._holders, view.resident, view)
        _remove_all(self._awaited, view.loading_or_awaited, view)
        self._rankings.clear()

    def set_adapters(
        self,
        view: UpstreamView,
        resident: dict[ModelAdapter, Version],
        awaited: frozenset[ModelAdapter],
    ) -> None:
        """Replace the adapters of an upstream."""
        _remove_all(self._holders, view.resident.keys() - resident.keys(), view)
        _add_all(self._holders, resident.keys() - view.resident.keys(), view)
        _remove_all(self._awaited, view.loading_or_awaited - awaited, view)
        _add_all(self._awaited, awaited - view.loading_or_awaited, view)
        view.resident = resident
        view.loading_or_awaited = awaited

    def drop_resident(self, view: UpstreamView, target: ModelAdapter) -> None:
        """Remove one resident adapter of an upstream."""
        if view.resident.pop(target, None) is not None:
            _remove_all(self._holders, (target,), view)

    def note_speed_changed(self) -> None:
        """Rank anew, as an upstream has become slower or faster for longer than a moment."""
        self._rankings.clear()

    def at_ip(self, ip: str) -> list[UpstreamView]:
        """Return the upstreams on a VM, one for each known incarnation."""
        return list(self._by_ip.get(ip, ()))

    def of_service(self, service: ServiceName) -> list[UpstreamView]:
        """Return the upstreams of a service."""
        return list(self._by_service.get(service, ()))

    def count_of_service(self, service: ServiceName) -> int:
        """Return the number of upstreams of a service."""
        return len(self._by_service.get(service, ()))

    def holders(self, target: ModelAdapter) -> Sequence[UpstreamView]:
        """Return the upstreams on which an adapter is resident, in any version."""
        return self._holders.get(target, ())

    def awaited_at(self, target: ModelAdapter) -> Sequence[UpstreamView]:
        """Return the upstreams that load an adapter or where requests wait for it."""
        return self._awaited.get(target, ())

    def ranking(self, service: ServiceName, target: ModelAdapter) -> Sequence[UpstreamView]:
        """Return the first upstreams of an adapter's ranking by rendezvous hashing."""
        ranking = self._rankings.get((service, target))
        if ranking is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            ranking = rank(self._by_service.get(service, ()), target, RANKING_LENGTH)
            self._rankings[service, target] = ranking
        return ranking


def rank(views: Sequence[UpstreamView], target: ModelAdapter, length: int) -> list[UpstreamView]:
    """Return the first ``length`` upstreams of an adapter's ranking by rendezvous hashing.

    A faster upstream is the first one of more adapters, as its adapter slots are free again sooner.
    """
    key_hash = hash_target(target)
    return heapq.nlargest(
        length,
        views,
        key=lambda view: weighted_score(key_hash, view.address_hash, 1.0 / view.slowness.steady),
    )


def hash_target(target: ModelAdapter) -> int:
    """Return the hash of an adapter that ranks upstreams for it."""
    return hash64(f"{target.model}/{target.adapter}".encode())


def _add_all(index: dict[Key, list[UpstreamView]], keys: Iterable[Key], view: UpstreamView) -> None:
    for key in keys:
        index.setdefault(key, []).append(view)


def _remove_all(
    index: dict[Key, list[UpstreamView]], keys: Iterable[Key], view: UpstreamView
) -> None:
    for key in keys:
        remaining = [other for other in index.get(key, ()) if other is not view]
        if remaining:
            index[key] = remaining
        else:
            index.pop(key, None)
