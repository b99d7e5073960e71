"""Single-threaded simulation of a cluster with its own clock, network and table."""

import collections
import itertools
import random
from collections.abc import Callable, Collection, Iterable, Sequence

from dragonflyhold.config.commit import Committer
from dragonflyhold.config.peers import DaemonIdentity, PeerUnavailableError
from dragonflyhold.config.propagation import Propagation
from dragonflyhold.config.replica import ConfigReplica
from dragonflyhold.config.schedule import Schedule
from dragonflyhold.config.store import ConfigStore
from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.ids import DataCentre, Incarnation, Region, Revision
from dragonflyhold.observability import Metrics
from dragonflyhold.settings import ConfigSettings
from dragonflyhold.storage.interface import Condition, Put, Row
from dragonflyhold.timers.service import PAUSE_GAP_S
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.fakes import FakeObjectStore, FakeTable

STEP_S = 0.25
INSTANT_S = 0.001
REGION = Region("almaty")


class _DaemonTable:
    """The table as seen by one daemon; unavailable while the daemon is cut off from it."""

    def __init__(self, daemon: "SimDaemon") -> None:
        self._daemon = daemon
        self._table = daemon.simulation.table

    def read(self, key: str) -> Row | None:
        self._check()
        return self._table.read(key)

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> Sequence[Row]:
        self._check()
        return self._table.read_prefix(prefix, start_after, limit)

    def write(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        self._check()
        self._table.write(conditions, puts)

    def _check(self) -> None:
        if self._daemon.data_centre in self._daemon.simulation.cut_from_table:
            raise PlatformUnavailableError("simulation: the table is unreachable")


class _DaemonPeers:
    """Peers as seen by one daemon; unavailable while paused or behind a cut link."""

    def __init__(self, daemon: "SimDaemon") -> None:
        self._daemon = daemon

    def compare(
        self, address: str, request: pb.CompareRequest, timeout_s: float
    ) -> pb.CompareReply:
        peer = self._peer(address)
        reply = peer.replica.handle_compare(request)
        peer.observe_revision(Revision(request.revision), request.address)
        return reply

    def fetch(
        self, address: str, request: pb.FetchRequest, timeout_s: float
    ) -> Iterable[pb.FetchChunk]:
        return self._peer(address).replica.handle_fetch(Revision(request.since))

    def open_addresses(self) -> Collection[str]:
        return ()

    def _peer(self, address: str) -> "SimDaemon":
        peer = self._daemon.simulation.daemons.get(address)
        if peer is None or peer.paused or self._daemon.simulation.is_cut(self._daemon, peer):
            raise PeerUnavailableError(address)
        return peer


class SimDaemon:
    """One daemon; a restart creates a new instance at the same address."""

    def __init__(
        self, simulation: "Simulation", address: str, data_centre: str, seeds: Sequence[str]
    ):
        self.simulation = simulation
        self.address = address
        self.data_centre = DataCentre(data_centre)
        self.seeds = tuple(seeds)
        self.paused = False
        self.last_tick_at = simulation.now
        # Highest revision that a test has observed here.
        self.highest = 0
        incarnation = Incarnation(f"{next(simulation.incarnations):016x}")
        rng = random.Random(f"{simulation.seed}/{incarnation}")
        identity = DaemonIdentity(address, REGION, self.data_centre, address, incarnation)
        settings = ConfigSettings(seeds=self.seeds, snapshot_every=4)
        clock = simulation.clock
        self.replica = ConfigReplica(settings, identity, None, clock, rng)
        store = ConfigStore(_DaemonTable(self), simulation.object_store)
        metrics = Metrics()
        self.propagation = Propagation(
            settings,
            self.replica,
            store,
            _DaemonPeers(self),
            metrics,
            clock,
            lambda: self.submit(self.propagation.push),
            self._run_all,
        )
        self.committer = Committer(
            settings,
            self.replica,
            store,
            self.propagation,
            metrics,
            clock,
            simulation.sleep,
            lambda: self.submit(self._write_snapshot),
        )
        self.schedule = Schedule(settings, rng)
        self.replica.record_tick(simulation.now, 0.0)

    @property
    def is_fresh(self) -> bool:
        """Whether the daemon accepts new requests now."""
        return not self.paused and self.replica.is_fresh(self.simulation.now)

    def submit(self, task: Callable[[], object]) -> None:
        """Queue a task to run after the current one."""
        self.simulation.tasks.append((self, task))

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Record a revision and fetch it if missing, as ``ConfigService`` does."""
        if self.replica.observe_revision(revision):
            self.submit(lambda: self.propagation.fetch_from(address, revision))

    def tick(self) -> None:
        """Run the periodic work that is due."""
        now = self.simulation.now
        gap = now - self.last_tick_at
        paused_s = gap if gap > PAUSE_GAP_S else 0.0
        self.last_tick_at = now
        self.replica.record_tick(now, paused_s)
        due = self.schedule.due(now, self.replica, bool(paused_s))
        for _ in range(due.compares):
            self.submit(self.propagation.compare_once)
        if due.head_read:
            self.submit(self.propagation.read_head)
        if due.snapshot:
            self.submit(self._write_snapshot)

    def _write_snapshot(self) -> None:
        if not self.propagation.write_snapshot():
            self.schedule.schedule_snapshot_retry(self.simulation.now)

    @staticmethod
    def _run_all(tasks: Sequence[Callable[[], None]]) -> None:
        for task in tasks:
            task()


class Simulation:
    """The daemons, the clock, the network between data centres and the platform."""

    def __init__(self, seed: int = 0) -> None:
        self.seed = seed
        self.now = 1000.0
        self.table = FakeTable()
        self.object_store = FakeObjectStore()
        self.daemons: dict[str, SimDaemon] = {}
        self.cut_links: set[frozenset[DataCentre]] = set()
        self.cut_from_table: set[DataCentre] = set()
        self.tasks: collections.deque[tuple[SimDaemon, Callable[[], object]]] = collections.deque()
        self.incarnations = itertools.count(1)
        # Called after each time step.
        self.after_step: Callable[[], None] = lambda: None

    def clock(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advance the clock without running daemons."""
        self.now += seconds

    def start(self, address: str, data_centre: str, seeds: Sequence[str]) -> SimDaemon:
        """Start a daemon, or restart it with empty state."""
        daemon = SimDaemon(self, address, data_centre, seeds)
        self.daemons[address] = daemon
        return daemon

    def is_cut(self, one: SimDaemon, other: SimDaemon) -> bool:
        """Return whether the link between the data centres of two daemons is cut."""
        return frozenset((one.data_centre, other.data_centre)) in self.cut_links

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the daemons in each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for address in sorted(self.daemons):
                daemon = self.daemons[address]
                if not daemon.paused:
                    daemon.tick()
            self.run_tasks()
            self.after_step()
        self.advance_instant()

    def advance_instant(self) -> None:
        """Advance the clock slightly, so that later events differ in time from earlier contacts."""
        self.now += INSTANT_S

    def run_tasks(self) -> None:
        """Run the queued tasks; those of paused daemons stay queued."""
        paused_tasks: list[tuple[SimDaemon, Callable[[], object]]] = []
        while self.tasks:
            daemon, task = self.tasks.popleft()
            if self.daemons.get(daemon.address) is not daemon:
                continue
            if daemon.paused:
                paused_tasks.append((daemon, task))
            else:
                task()
        self.tasks.extend(paused_tasks)

    def end_faults(self) -> None:
        """End all faults and resume all daemons."""
        self.table.is_unavailable = False
        self.table.lose_answers = 0
        self.table.delay_writes = 0
        self.table.before_write = None
        self.table.deliver_delayed()
        self.object_store.is_unavailable = False
        self.cut_links.clear()
        self.cut_from_table.clear()
        for daemon in self.daemons.values():
            daemon.paused = False
