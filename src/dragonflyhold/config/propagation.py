"""Steps that keep a replica current; each runs to its end in the calling thread."""

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
from dragonflyhold.observability import Metrics, PartLogger
from dragonflyhold.settings import ConfigSettings
from dragonflyhold.transport.schema import operator_pb2 as pb

_LOG = PartLogger("config")

# Runs tasks, side by side if it can, and returns when all have ended.
RunAll = Callable[[Sequence[Callable[[], None]]], None]

# A daemon further behind the head row than this reads the snapshot before change rows.
_SNAPSHOT_GAP_FACTOR = 2
# Peers of one data centre that are tried for one contact.
_TRIES_PER_DATA_CENTRE = 3
# How long a fetch waits for another thread that installs the same revision.
_SHARED_FETCH_S = 0.5


@final
class Propagation:
    """Compares with peers, reads the table and passes new revisions on."""

    def __init__(
        self,
        settings: ConfigSettings,
        replica: ConfigReplica,
        store: ConfigStore,
        peers: PeerClient,
        metrics: Metrics,
        clock: Callable[[], float],
        after_install: Callable[[], None],
        run_all: RunAll,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._store = store
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._after_install = after_install
        self._run_all = run_all
        # Highest revision that a thread is fetching; only a hint against duplicate fetches.
        self._fetching = Revision(0)

    def compare_once(self) -> bool:
        """Compare with the peer that is due; return whether that made a contact."""
        address = self._replica.choose_peer(sorted(self._peers.open_addresses()))
        return address is not None and self.compare_with(address)

    def compare_with(self, address: str) -> bool:
        """Compare with a peer and catch up with it; return whether that made a contact."""
        sent = self._clock()
        request = self._replica.compare_request(sent)
        try:
            reply = self._peers.compare(address, request, COMPARE_TIMEOUT_S)
        except PeerUnavailableError:
            self._metrics.count_event("config_compare_failed")
            return False
        if self._replica.record_reply(address, sent, reply):
            return True
        if not self.fetch_from(address, Revision(reply.revision)):
            return False
        return self._replica.record_reply(address, sent, reply)

    def fetch_from(self, address: str, revision: Revision) -> bool:
        """Install at least ``revision`` from a peer; return whether it is installed."""
        if revision <= self._fetching and self._replica.wait_installed(revision, _SHARED_FETCH_S):
            return True
        self._fetching = max(self._fetching, revision)
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
            _LOG.warning("Reply of a peer refused.", peer=address, error=error)
            return False
        finally:
            if self._fetching == revision:
                self._fetching = Revision(0)
        match received:
            case Delta():
                risen = self._replica.install_delta(received)
            case _:
                self._metrics.count_event("config_full_sync")
                risen = self._replica.install_snapshot(received)
        if risen:
            self._report_installed()
        return self._replica.revision >= revision

    def read_head(self) -> bool:
        """Read the head row and install what is missing; return whether that succeeded."""
        sent = self._clock()
        try:
            head = self._store.read_head()
            self._replica.observe_revision(head.revision)
            self.catch_up_from_table(head.revision)
        except (PlatformUnavailableError, StoreError) as error:
            self._metrics.count_event("config_table_failed")
            _LOG.debug("Table not read.", error=error)
            return False
        self._replica.record_table_read(sent, head.revision)
        return self._replica.revision >= head.revision

    def catch_up_from_table(self, revision: Revision) -> None:
        """Install ``revision`` from the table; raise ``PlatformUnavailableError``."""
        before = self._replica.revision
        if before >= revision:
            return
        if revision - before > _SNAPSHOT_GAP_FACTOR * self._settings.snapshot_every or before == 0:
            self._install_stored_snapshot()
        while self._replica.revision < revision:
            since = self._replica.revision
            changes = self._store.read_changes(since)
            if not changes:
                raise StoreError(f"no change row behind revision {since}, head is {revision}")
            writes: dict[ObjectKey, StoredObject | None] = {}
            deleted: dict[ObjectKey, Revision] = {}
            for number, request in changes:
                for key, stored in writes_of(parse_change(request)[0], number).items():
                    writes[key] = stored
                    if stored is None:
                        deleted[key] = number
            self._replica.install_delta(Delta(since, changes[-1][0], writes, deleted))
        self._report_installed()

    def push(self) -> None:
        """Tell some peers of the revision; those behind fetch it and pass it on."""
        for address in self._replica.push_targets(self._settings.push_fanout):
            self.compare_with(address)

    def push_to_all_data_centres(self) -> None:
        """Tell at least one peer of every data centre, and some more of the own one."""
        tasks = [
            functools.partial(self.contact, data_centre)
            for data_centre in sorted(self._replica.known_data_centres())
        ]
        self._run_all([*tasks, self.push])

    def contact_all(self, data_centres: Collection[DataCentre]) -> None:
        """Compare with one peer of each data centre."""
        tasks = [functools.partial(self.contact, name) for name in sorted(data_centres)]
        self._run_all(tasks)

    def contact(self, data_centre: DataCentre) -> None:
        """Compare with one peer of a data centre that answers."""
        for address in self._replica.peers_in(data_centre, _TRIES_PER_DATA_CENTRE):
            if self.compare_with(address):
                return

    def write_snapshot(self) -> bool:
        """Write a snapshot if the latest one is ``snapshot_every`` changes old."""
        try:
            latest = self._store.snapshot_revision()
            if self._replica.revision - latest >= self._settings.snapshot_every:
                self._store.write_snapshot(self._replica.state)
                self._metrics.count_event("config_snapshot_written")
        except PlatformUnavailableError as error:
            _LOG.warning("Snapshot not written.", error=error)
            return False
        return True

    def _install_stored_snapshot(self) -> None:
        try:
            state = self._store.read_snapshot()
        except (StoreError, PlatformUnavailableError) as error:
            # All change rows are kept, so they serve without it.
            _LOG.warning("Snapshot not read.", error=error)
            return
        if state is not None:
            self._replica.install_snapshot(state)

    def _report_installed(self) -> None:
        self._metrics.set_level("config_revision", self._replica.revision)
        _LOG.info("Configuration installed.", revision=self._replica.revision)
        self._after_install()
