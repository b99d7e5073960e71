"""Operations that keep a replica current; each runs synchronously in the calling thread."""

import functools
from collections.abc import Callable, Collection, Sequence
from typing import final

from dragonflyhold.config.changes import parse_change
from dragonflyhold.config.codec import MessageError
from dragonflyhold.config.deltas import Delta
from dragonflyhold.config.exchange import ExchangeError, read_chunks
from dragonflyhold.config.objects import ObjectKey, StoredObject
from dragonflyhold.config.peers import (
    COMPARE_TIMEOUT_S,
    FETCH_TIMEOUT_S,
    PeerClient,
    PeerUnavailableError,
)
from dragonflyhold.config.replica import ConfigReplica
from dragonflyhold.config.snapshot import SnapshotError
from dragonflyhold.config.store import ConfigStore, StoreError
from dragonflyhold.config.validation import writes_of
from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.ids import DataCentre, Revision
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.settings import ConfigSettings
from dragonflyhold.transport.schema import operator_pb2 as pb

_LOG = ComponentLogger("config")

# Runs tasks, concurrently if possible, and returns when all of them have finished.
RunAll = Callable[[Sequence[Callable[[], None]]], None]

# A daemon behind the head row by more than this multiple of ``snapshot_every`` reads the latest
# snapshot before the change rows.
_SNAPSHOT_GAP_FACTOR = 2
# Maximum number of peers that are tried for one contact with a data centre.
_PEERS_PER_CONTACT = 3
# How long to wait for another thread that is fetching the same revision.
_SHARED_FETCH_WAIT_S = 0.5


@final
class Propagation:
    """Compares with peers, reads the table and announces new revisions."""

    def __init__(
        self,
        settings: ConfigSettings,
        replica: ConfigReplica,
        store: ConfigStore,
        peers: PeerClient,
        metrics: Metrics,
        clock: Callable[[], float],
        on_installed: Callable[[], None],
        run_all: RunAll,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._store = store
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._on_installed = on_installed
        self._run_all = run_all
        # Highest revision that a thread is fetching; a hint that avoids most duplicate fetches.
        self._fetching_revision = Revision(0)

    def compare_once(self) -> bool:
        """Compare with the next peer; return whether this counts as a contact."""
        address = self._replica.choose_peer(sorted(self._peers.open_addresses()))
        return address is not None and self.compare_with(address)

    def compare_with(self, address: str) -> bool:
        """Compare with a peer and catch up; return whether this counts as a contact."""
        sent_at = self._clock()
        request = self._replica.compare_request(sent_at)
        try:
            reply = self._peers.compare(address, request, COMPARE_TIMEOUT_S)
        except PeerUnavailableError:
            self._metrics.count_event("config_compare_failed")
            return False
        if self._replica.record_reply(address, sent_at, reply):
            return True
        if not self.fetch_from(address, Revision(reply.revision)):
            return False
        return self._replica.record_reply(address, sent_at, reply)

    def fetch_from(self, address: str, revision: Revision) -> bool:
        """Fetch from a peer at least up to ``revision``; return whether that is installed."""
        if revision <= self._fetching_revision and self._replica.wait_installed(
            revision, _SHARED_FETCH_WAIT_S
        ):
            return True
        self._fetching_revision = max(self._fetching_revision, revision)
        since = self._replica.revision
        if since >= revision:
            return True
        request = pb.FetchRequest(since=since)
        try:
            chunks = self._peers.fetch(address, request, FETCH_TIMEOUT_S)
            received = read_chunks(chunks, since)
        except PeerUnavailableError:
            self._metrics.count_event("config_fetch_failed")
            return False
        except (ExchangeError, SnapshotError, MessageError) as error:
            _LOG.warning(
                "Rejected an incomplete or damaged reply from a peer.", peer=address, error=error
            )
            return False
        finally:
            if self._fetching_revision == revision:
                self._fetching_revision = Revision(0)
        match received:
            case Delta():
                installed = self._replica.install_delta(received)
            case _:
                self._metrics.count_event("config_full_sync")
                installed = self._replica.install_snapshot(received)
        if installed:
            self._report_installed()
        return self._replica.revision >= revision

    def read_head(self) -> bool:
        """Read the head row and install missing changes; return whether the replica is current."""
        sent_at = self._clock()
        try:
            head = self._store.read_head()
            self._replica.observe_revision(head.revision)
            self.catch_up_from_table(head.revision)
        except (PlatformUnavailableError, StoreError) as error:
            self._metrics.count_event("config_table_failed")
            _LOG.debug("Could not read the configuration from the table.", error=error)
            return False
        self._replica.record_table_read(sent_at, head.revision)
        return self._replica.revision >= head.revision

    def catch_up_from_table(self, revision: Revision) -> None:
        """Install the changes in the table at least up to ``revision``.

        Raise ``PlatformUnavailableError`` in an outage and ``StoreError`` for missing rows.
        """
        previous = self._replica.revision
        if previous >= revision:
            return
        if (
            revision - previous > _SNAPSHOT_GAP_FACTOR * self._settings.snapshot_every
            or previous == 0
        ):
            self._install_stored_snapshot()
        while self._replica.revision < revision:
            since = self._replica.revision
            changes = self._store.read_changes(since)
            if not changes:
                raise StoreError(f"no change row after revision {since}, head is {revision}")
            writes: dict[ObjectKey, StoredObject | None] = {}
            deleted: dict[ObjectKey, Revision] = {}
            for change_revision, request in changes:
                for key, stored in writes_of(parse_change(request)[0], change_revision).items():
                    writes[key] = stored
                    if stored is None:
                        deleted[key] = change_revision
            self._replica.install_delta(Delta(since, changes[-1][0], writes, deleted))
        self._report_installed()

    def push(self) -> None:
        """Announce the revision to some peers; those behind fetch it and announce it in turn."""
        for address in self._replica.push_targets(self._settings.push_fanout):
            self.compare_with(address)

    def push_to_all_data_centres(self) -> None:
        """Announce the revision to one peer per data centre and to the push targets."""
        tasks = [
            functools.partial(self.contact, data_centre)
            for data_centre in sorted(self._replica.known_data_centres())
        ]
        self._run_all([*tasks, self.push])

    def contact_all(self, data_centres: Collection[DataCentre]) -> None:
        """Compare with one peer in each of the data centres."""
        tasks = [functools.partial(self.contact, name) for name in sorted(data_centres)]
        self._run_all(tasks)

    def contact(self, data_centre: DataCentre) -> None:
        """Compare with peers in a data centre until one of them counts as a contact."""
        for address in self._replica.peers_in(data_centre, _PEERS_PER_CONTACT):
            if self.compare_with(address):
                return

    def write_snapshot(self) -> bool:
        """Write a snapshot if the latest one is ``snapshot_every`` changes old or more.

        Return false if the platform was unavailable.
        """
        try:
            latest = self._store.snapshot_revision()
            if self._replica.revision - latest >= self._settings.snapshot_every:
                self._store.write_snapshot(self._replica.state)
                self._metrics.count_event("config_snapshot_written")
        except PlatformUnavailableError as error:
            _LOG.warning("Could not write a configuration snapshot.", error=error)
            return False
        return True

    def _install_stored_snapshot(self) -> None:
        try:
            state = self._store.read_snapshot()
        except (StoreError, PlatformUnavailableError) as error:
            # Change rows are never deleted, so the replica can be built without the snapshot.
            _LOG.warning(
                "Could not read the configuration snapshot; reading the change rows instead.",
                error=error,
            )
            return
        if state is not None:
            self._replica.install_snapshot(state)

    def _report_installed(self) -> None:
        self._metrics.set_level("config_revision", self._replica.revision)
        _LOG.info("Configuration installed.", revision=self._replica.revision)
        self._on_installed()
