"""A daemon's copy of the configuration, with its freshness and its known peers.

``ConfigReplica`` only holds state, and its methods do no I/O; the peers and the table are called by
``Propagation`` and ``Committer``.
"""

import math
import random
import threading
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.config.crash_gossip import CrashReportSelector
from dragonflyhold.config.deltas import Delta, DeltaHistory
from dragonflyhold.config.directory import PeerDirectory
from dragonflyhold.config.exchange import fetch_chunks
from dragonflyhold.config.freshness import FreshnessTracker
from dragonflyhold.config.objects import (
    AdapterVersion,
    Freshness,
    ObjectKey,
    ObjectType,
    RequestKind,
    Service,
    StoredObject,
    Upstream,
)
from dragonflyhold.config.peers import DaemonIdentity
from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import (
    AdapterKey,
    DataCentre,
    Fingerprint,
    KindName,
    Region,
    Revision,
    ServiceName,
    UpstreamName,
)
from dragonflyhold.requests.crashes import CrashExchange, CrashReport
from dragonflyhold.settings import ConfigSettings
from dragonflyhold.transport.schema import operator_pb2 as pb

# Entries read from one message of a peer; further ones are ignored.
MAX_CRASH_REPORTS = 32
MAX_CONTACTS = 64


@final
class ConfigReplica:
    """Configuration of a daemon; implements ``ConfigView``; thread-safe."""

    def __init__(
        self,
        settings: ConfigSettings,
        identity: DaemonIdentity,
        crashes: CrashExchange | None,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._crashes = crashes
        self._clock = clock
        self._crash_selector = CrashReportSelector()
        self._state = ConfigState()
        self._history = DeltaHistory(Revision(0))
        self._highest_seen = Revision(0)
        self._freshness = FreshnessTracker(identity.data_centre, settings.stale_s, clock())
        self._directory = PeerDirectory(
            identity.region, identity.data_centre, identity.address, settings.seeds, rng
        )
        self._lock = threading.Lock()
        self._installed = threading.Condition(self._lock)

    # Read access (ConfigView).

    @property
    def revision(self) -> Revision:
        """Highest revision installed; never decreases."""
        return self._state.revision

    @property
    def highest_seen(self) -> Revision:
        """Highest revision known to exist, installed or not."""
        return self._highest_seen

    @property
    def state(self) -> ConfigState:
        """The configuration in force."""
        return self._state

    def freshness(self, now: float) -> Freshness:
        """Return the revision and its age at ``now`` (monotonic seconds)."""
        with self._lock:
            current_at = self._freshness.current_at(now, self._own_data_centres())
            return Freshness(self._state.revision, now - current_at)

    def service(self, name: ServiceName) -> Service | None:
        """Return a service, or ``None`` if it is not registered."""
        value = _value(self._state.get(ObjectKey(ObjectType.SERVICE, "", name)))
        return value if isinstance(value, Service) else None

    def upstream(self, name: UpstreamName) -> Upstream | None:
        """Return an upstream, or ``None`` if it is not registered."""
        value = _value(self._state.get(ObjectKey(ObjectType.UPSTREAM, "", name)))
        return value if isinstance(value, Upstream) else None

    def upstreams_of(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams of a service, sorted by name."""
        return self._state.upstreams_of(service)

    def has_adapter(self, service: ServiceName, adapter: str) -> bool:
        """Return whether the adapter is registered, in any version."""
        return self._state.get(ObjectKey(ObjectType.ADAPTER, service, adapter)) is not None

    def version(self, key: AdapterKey) -> AdapterVersion | None:
        """Return a version of an adapter, or ``None`` if it is not registered."""
        value = _value(self._state.get(ObjectKey(ObjectType.VERSION, *key)))
        return value if isinstance(value, AdapterVersion) else None

    def kind(self, service: ServiceName, name: KindName) -> RequestKind | None:
        """Return a request kind, or ``None`` if it is not registered."""
        value = _value(self._state.get(ObjectKey(ObjectType.KIND, service, name)))
        return value if isinstance(value, RequestKind) else None

    # Freshness.

    def is_fresh(self, now: float) -> bool:
        """Return whether the daemon may accept new requests."""
        with self._lock:
            return self._freshness.is_fresh(now, self._own_data_centres())

    def record_tick(self, now: float, paused_s: float) -> None:
        """Record that the process is running, after a pause of ``paused_s`` if not zero."""
        with self._lock:
            if paused_s:
                self._freshness.record_pause(now)
            self._freshness.record_tick(now, self._own_data_centres())

    def record_table_read(self, at: float, head: Revision) -> None:
        """Record a read of the head row sent at ``at``; it counts if its revision is installed."""
        with self._lock:
            self._observe(head)
            if self._state.revision >= head:
                self._freshness.record_table_read(at)

    def current_age_s(self, now: float) -> float:
        """Return the seconds since the revision was last known to be current."""
        with self._lock:
            return now - self._freshness.current_at(now, self._own_data_centres())

    def table_age_s(self, now: float) -> float:
        """Return the seconds since the last table read."""
        with self._lock:
            return self._freshness.table_age_s(now)

    def majority_age_s(self, region: Region, now: float) -> float:
        """Return the seconds since the last contact with a majority of a region's data centres."""
        with self._lock:
            return now - self._freshness.majority_at(now, self._data_centres(region))

    def region_data_centres(self, region: Region) -> set[DataCentre]:
        """Return the data centres of a region that have upstreams."""
        return set(self._state.data_centres(region))

    # Installation.

    def observe_revision(self, revision: Revision) -> bool:
        """Record that a revision exists; return whether it still has to be installed."""
        with self._lock:
            self._observe(revision)
            return self._state.revision < revision

    def install_delta(self, delta: Delta) -> bool:
        """Apply merged changes; return whether the revision increased."""
        with self._lock:
            installed = self._state.revision
            if delta.since > installed or delta.revision <= installed:
                return False
            written = [
                (key, delta.deleted[key] if stored is None else stored.revision)
                for key, stored in delta.writes.items()
            ]
            self._history.record(
                (key, last_revision) for key, last_revision in written if last_revision > installed
            )
            self._set_state(self._state.with_writes(delta.writes, delta.revision))
            return True

    def install_snapshot(self, state: ConfigState) -> bool:
        """Replace the state; return whether the revision increased."""
        with self._lock:
            if state.revision <= self._state.revision:
                return False
            self._history = DeltaHistory(state.revision)
            self._set_state(state)
            return True

    def wait_installed(self, revision: Revision, timeout_s: float) -> bool:
        """Wait until a revision is installed; return false on timeout."""
        with self._installed:
            return self._installed.wait_for(lambda: self._state.revision >= revision, timeout_s)

    # Exchange with peers.

    def compare_request(self, now: float) -> pb.CompareRequest:
        """Return a request that reports this daemon's revision, contacts and crash reports."""
        with self._lock:
            contacts = self._contact_messages(now)
            age_ms = self._age_ms(now)
            revision = self._state.revision
        return pb.CompareRequest(
            daemon=self._identity.name,
            address=self._identity.address,
            data_centre=self._identity.data_centre,
            revision=revision,
            age_ms=age_ms,
            contacts=contacts,
            crashes=self._crash_messages(),
        )

    def handle_compare(self, request: pb.CompareRequest) -> pb.CompareReply:
        """Process a peer's request and return the reply.

        The calling peer's contacts are not adopted, because the request may have been delayed in
        transit for an unknown time.
        """
        now = self._clock()
        self._merge_crashes(request.crashes)
        with self._lock:
            data_centre = DataCentre(request.data_centre)
            self._directory.record_calling_peer(request.address, data_centre, now)
            self._observe(Revision(request.revision))
            contacts = self._contact_messages(now)
            age_ms = self._age_ms(now)
            revision = self._state.revision
        return pb.CompareReply(
            daemon=self._identity.name,
            data_centre=self._identity.data_centre,
            revision=revision,
            age_ms=age_ms,
            contacts=contacts,
            crashes=self._crash_messages(),
        )

    def record_reply(self, address: str, sent_at: float, reply: pb.CompareReply) -> bool:
        """Process a peer's reply; return whether its revision is installed here.

        The peer's contacts are adopted only in that case, see ``FreshnessTracker``.
        """
        self._merge_crashes(reply.crashes)
        with self._lock:
            self._directory.record_reply(address, DataCentre(reply.data_centre))
            self._observe(Revision(reply.revision))
            if self._state.revision < reply.revision:
                return False
            ages = {
                DataCentre(contact.data_centre): contact.age_ms / 1000
                for contact in reply.contacts[:MAX_CONTACTS]
            }
            self._freshness.record_contacts(sent_at, ages, self._own_data_centres())
            return True

    def handle_fetch(self, since: Revision) -> list[pb.FetchChunk]:
        """Return the merged changes since a revision, or a snapshot."""
        with self._lock:
            state = self._state
            delta = self._history.since(since, state)
        return list(fetch_chunks(delta, state))

    def choose_peer(self, open_addresses: Sequence[str]) -> str | None:
        """Return the next peer to compare with."""
        now = self._clock()
        with self._lock:

            def age(data_centre: DataCentre) -> float:
                return self._freshness.contact_age_s(data_centre, now)

            return self._directory.choose(now, age, open_addresses)

    def peers_in(self, data_centre: DataCentre, limit: int) -> list[str]:
        """Return up to ``limit`` random peers of a data centre."""
        with self._lock:
            return self._directory.in_data_centre(data_centre, self._clock(), limit)

    def push_targets(self, fanout: int) -> list[str]:
        """Return the peers to which a new revision is announced."""
        with self._lock:
            return self._directory.push_targets(self._clock(), fanout)

    def peers(self) -> dict[str, DataCentre]:
        """Return the addresses of all known peers and their data centres."""
        with self._lock:
            return self._directory.peers(self._clock())

    def known_data_centres(self) -> set[DataCentre]:
        """Return the data centres of all known peers."""
        with self._lock:
            return self._directory.data_centres(self._clock())

    def processes(self) -> int:
        """Return the number of known daemons, including this one."""
        with self._lock:
            return self._directory.processes(self._clock())

    def _set_state(self, state: ConfigState) -> None:
        self._state = state
        self._directory.update(state)
        self._observe(state.revision)
        self._installed.notify_all()

    def _observe(self, revision: Revision) -> None:
        self._highest_seen = max(self._highest_seen, revision)
        now = self._clock()
        self._freshness.record_revisions(now, self._state.revision, self._highest_seen)

    def _own_data_centres(self) -> set[DataCentre]:
        return self._data_centres(self._identity.region) | {self._identity.data_centre}

    def _data_centres(self, region: Region) -> set[DataCentre]:
        return self._state.data_centres(region)

    def _age_ms(self, now: float) -> int:
        current_at = self._freshness.current_at(now, self._own_data_centres())
        # The largest age stands for a daemon that was never current.
        return int(min(max(now - current_at, 0.0), 2**31) * 1000)

    def _contact_messages(self, now: float) -> list[pb.DataCentreContact]:
        ages = self._freshness.ages(now)
        # Rounded up, because a reported age must not be less than the actual one.
        return [
            pb.DataCentreContact(data_centre=name, age_ms=math.ceil(age * 1000))
            for name, age in sorted(ages.items())
        ]

    def _crash_messages(self) -> list[pb.CrashReport]:
        if self._crashes is None:
            return []
        reports = self._crashes.reports()
        with self._lock:
            selected = self._crash_selector.select(reports)
        return [
            pb.CrashReport(
                fingerprint=report.fingerprint,
                crashes=report.crashes,
                quarantined=report.quarantined,
            )
            for report in selected
        ]

    def _merge_crashes(self, messages: Sequence[pb.CrashReport]) -> None:
        if self._crashes is None or not messages:
            return
        self._crashes.merge(
            [
                CrashReport(Fingerprint(item.fingerprint), item.crashes, item.quarantined)
                for item in messages[:MAX_CRASH_REPORTS]
            ]
        )


def _value(stored: StoredObject | None) -> object:
    return None if stored is None else stored.object
