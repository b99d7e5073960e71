"""A cluster of replicas in one thread with its own clock, network and table."""

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


class _CutTable:
    """The table as one daemon reaches it."""

    def __init__(self, daemon: "SimDaemon") -> None:
        self._daemon = daemon
        self._table = daemon.world.table

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
        if self._daemon.data_centre in self._daemon.world.cut_from_table:
            raise PlatformUnavailableError("simulation: cut off from the table")


class _Network:
    """Peers as one daemon reaches them."""

    def __init__(self, daemon: "SimDaemon") -> None:
        self._daemon = daemon

    def compare(
        self, address: str, request: pb.CompareRequest, timeout_s: float
    ) -> pb.CompareReply:
        peer = self._peer(address)
        reply = peer.replica.answer_compare(request)
        peer.observe(Revision(request.revision), request.address)
        return reply

    def fetch(
        self, address: str, request: pb.FetchRequest, timeout_s: float
    ) -> Iterable[pb.FetchChunk]:
        return self._peer(address).replica.answer_fetch(Revision(request.since))

    def open_addresses(self) -> Collection[str]:
        return ()

    def _peer(self, address: str) -> "SimDaemon":
        peer = self._daemon.world.daemons.get(address)
        if peer is None or peer.paused or self._daemon.world.is_cut(self._daemon, peer):
            raise PeerUnavailableError(address)
        return peer


class SimDaemon:
    """One daemon; a restart makes a new one at the same address."""

    def __init__(self, world: "World", address: str, data_centre: str, seeds: Sequence[str]):
        self.world = world
        self.address = address
        self.data_centre = DataCentre(data_centre)
        self.seeds = tuple(seeds)
        self.paused = False
        self.last_tick = world.now
        # Highest revision that a test has seen installed here.
        self.highest = 0
        incarnation = Incarnation(f"{next(world.incarnations):016x}")
        rng = random.Random(f"{world.seed}/{incarnation}")
        identity = DaemonIdentity(address, REGION, self.data_centre, address, incarnation)
        settings = ConfigSettings(seeds=self.seeds, snapshot_every=4)
        clock = world.clock
        self.replica = ConfigReplica(settings, identity, None, clock, rng)
        store = ConfigStore(_CutTable(self), world.object_store)
        metrics = Metrics()
        self.propagation = Propagation(
            settings,
            self.replica,
            store,
            _Network(self),
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
            world.sleep,
            lambda: self.submit(self._write_snapshot),
        )
        self.schedule = Schedule(settings, rng)
        self.replica.record_tick(world.now, 0.0)

    @property
    def is_fresh(self) -> bool:
        """Whether it takes new work now."""
        return not self.paused and self.replica.is_fresh(self.world.now)

    def submit(self, task: Callable[[], object]) -> None:
        """Run a task after the current one."""
        self.world.tasks.append((self, task))

    def observe(self, revision: Revision, address: str) -> None:
        """Learn of a revision as the servicer does."""
        if self.replica.observe_revision(revision):
            self.submit(lambda: self.propagation.fetch_from(address, revision))

    def tick(self) -> None:
        """Do the periodic work."""
        now = self.world.now
        gap = now - self.last_tick
        paused_s = gap if gap > PAUSE_GAP_S else 0.0
        self.last_tick = now
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
            self.schedule.schedule_snapshot_retry(self.world.now)

    @staticmethod
    def _run_all(tasks: Sequence[Callable[[], None]]) -> None:
        for task in tasks:
            task()


class World:
    """All daemons, the clock, the network between data centres, and the platform."""

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
        # Called after each step of time.
        self.check: Callable[[], None] = lambda: None

    def clock(self) -> float:
        """Return the time in seconds."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Let time pass for the caller alone."""
        self.now += seconds

    def start(self, address: str, data_centre: str, seeds: Sequence[str]) -> SimDaemon:
        """Start a daemon, or restart it without its memory."""
        daemon = SimDaemon(self, address, data_centre, seeds)
        self.daemons[address] = daemon
        return daemon

    def is_cut(self, one: SimDaemon, other: SimDaemon) -> bool:
        """Whether the link between the data centres of two daemons is cut."""
        return frozenset((one.data_centre, other.data_centre)) in self.cut_links

    def advance(self, seconds: float) -> None:
        """Let time pass for all."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for address in sorted(self.daemons):
                daemon = self.daemons[address]
                if not daemon.paused:
                    daemon.tick()
            self.run_tasks()
            self.check()
        self.let_instant_pass()

    def let_instant_pass(self) -> None:
        """Separate what comes next from contacts that were made at this time."""
        self.now += INSTANT_S

    def run_tasks(self) -> None:
        """Run all tasks of daemons that run; those of paused ones stay."""
        waiting: list[tuple[SimDaemon, Callable[[], object]]] = []
        while self.tasks:
            daemon, task = self.tasks.popleft()
            if self.daemons.get(daemon.address) is not daemon:
                continue
            if daemon.paused:
                waiting.append((daemon, task))
            else:
                task()
        self.tasks.extend(waiting)

    def heal(self) -> None:
        """End all faults."""
        self.table.is_out = False
        self.table.lose_answers = 0
        self.table.delay_writes = 0
        self.table.before_write = None
        self.table.deliver_delayed()
        self.object_store.is_out = False
        self.cut_links.clear()
        self.cut_from_table.clear()
        for daemon in self.daemons.values():
            daemon.paused = False
