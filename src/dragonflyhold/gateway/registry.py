"""Membership of upstreams, from the registry's rows; tolerates outages of the store."""

from collections.abc import Callable
from typing import Any, Protocol, final

import orjson

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import RegistrationState, Upstream, UpstreamId
from dragonflyhold.gateway.store_contact import RETURN_GRACE_S
from dragonflyhold.platform.codec import DecodeError, decode_upstream
from dragonflyhold.platform.store import StoredRow, StorePosition

# Time for which an upstream is kept that was reported before it has an entry.
EXPIRY_GRACE_S = RETURN_GRACE_S
# Dropped upstreams that are remembered; agents report on engines that run, for a few seconds more.
MAX_DROPPED = 4096


class RegistryEvents(Protocol):
    """Receives changes of the registry."""

    def upstream_changed(self, upstream: Upstream) -> None:
        """Handle an upstream that joined, changed its state or restarted."""

    def upstream_removed(self, upstream: Upstream) -> None:
        """Handle an upstream that no longer accepts requests."""


@final
class Registry:
    """Upstreams by id.

    An upstream is dropped when its entry is removed. A ready one whose entry may have expired only
    for lack of renewal, in an outage of the store, is kept until the store is stable.
    """

    def __init__(
        self,
        events: RegistryEvents,
        is_store_stable: Callable[[], bool],
        clock: Callable[[], float] = monotonic_now,
        count: Callable[[str], None] = lambda event: None,
        describe_contact: Callable[[], dict[str, Any]] = dict,
        may_have_expired: Callable[[StorePosition], bool] | None = None,
    ) -> None:
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self._events = events
        self._is_store_stable = is_store_stable
        self._clock = clock
        self._count = count
        self._describe_contact = describe_contact
        self._may_have_expired = may_have_expired or (lambda removed_at: not is_store_stable())
        # Upstreams without an entry, with the time until which they are kept at least.
        self._kept_until: dict[UpstreamId, float] = {}
        # Start times of upstreams that were dropped, oldest first.
        self._dropped: dict[UpstreamId, int] = {}
        self._log = JsonLogger("registry")

    @property
    def has_missing(self) -> bool:
        """Whether an upstream without an entry is kept."""
        return bool(self._kept_until)

    def apply(self, row: StoredRow) -> None:
        """Apply a changed row of the registry."""
        upstream_id = UpstreamId(row.key)
        if row.removed:
            self._handle_removal(row)
            return
        try:
            upstream = decode_upstream(row.key, orjson.loads(row.value))
        except (ValueError, DecodeError) as error:
            self._count("registry_entry_invalid")
            self._log.warning(
                "An invalid registry entry was treated as removed.", key=row.key, error=str(error)
            )
            self._handle_removal(row)
            return
        self._kept_until.pop(upstream_id, None)
        self._dropped.pop(upstream_id, None)
        old = self.upstreams.get(upstream_id)
        self.upstreams[upstream_id] = upstream
        if old is None or (old.start_time_ms, old.state, old.software) != (
            upstream.start_time_ms,
            upstream.state,
            upstream.software,
        ):
            self._log.info(
                "A runner changed." if old else "A runner joined.",
                runner=upstream_id,
                service=upstream.service,
                address=upstream.address,
                state=upstream.state.value,
                software=upstream.software,
                born=upstream.start_time_ms,
                row_version=row.version,
            )
        self._events.upstream_changed(upstream)

    def report_incarnation(self, upstream: Upstream) -> None:
        """Add an incarnation that an agent reports before its entry is read.

        One with a new id is dropped unless its entry appears within the grace period for outages,
        and is kept while the store is not stable. One that was dropped is not added again.
        """
        old = self.upstreams.get(upstream.upstream_id)
        known = self._dropped.get(upstream.upstream_id) if old is None else old.start_time_ms
        if known is not None and known >= upstream.start_time_ms:
            return
        self.upstreams[upstream.upstream_id] = upstream
        if old is None:
            self._kept_until[upstream.upstream_id] = self._clock() + EXPIRY_GRACE_S
        self._log.info(
            "An agent reported an incarnation that is not registered yet.",
            runner=upstream.upstream_id,
            address=upstream.address,
            born=upstream.start_time_ms,
            is_new_id=old is None,
        )
        self._events.upstream_changed(upstream)

    def expire(self) -> None:
        """Drop upstreams whose entry is still missing once the store is stable.

        One that was reported before it has an entry is kept for its own grace period too.
        """
        if not self._kept_until or not self._is_store_stable():
            return
        now = self._clock()
        for upstream_id, until in list(self._kept_until.items()):
            if now >= until:
                self._remove(upstream_id, "entry still missing after the grace period")

    def _handle_removal(self, row: StoredRow) -> None:
        upstream_id = UpstreamId(row.key)
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            return
        is_ready = upstream.state is RegistrationState.READY
        if is_ready and self._may_have_expired(row.position):
            self._kept_until.setdefault(upstream_id, self._clock())
            self._log.info(
                "A registry entry expired around a store outage; its upstream is kept for now.",
                runner=upstream_id,
                row_version=row.version,
                **self._describe_contact(),
            )
            return
        self._remove(upstream_id, "entry removed")

    def _remove(self, upstream_id: UpstreamId, reason: str) -> None:
        self._kept_until.pop(upstream_id, None)
        upstream = self.upstreams.pop(upstream_id, None)
        if upstream is not None:
            self._dropped[upstream_id] = upstream.start_time_ms
            if len(self._dropped) > MAX_DROPPED:
                del self._dropped[next(iter(self._dropped))]
            self._log.info("An upstream was dropped.", runner=upstream_id, reason=reason)
            self._events.upstream_removed(upstream)
