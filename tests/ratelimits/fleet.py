"""Gateways and agents that share an account's limit, with a virtual clock and no network."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from dragonflyhold.accounts import AccountName, TokenLimit
from dragonflyhold.gateway.account_counter import AccountCounter
from dragonflyhold.gateway.account_limits import REPLY_TIMEOUT_S, AccountLimits, Decision, Taken
from dragonflyhold.gateway.messages import (
    Message,
    TokenQuery,
    TokenReply,
    TokenReport,
    TokenRequest,
)
from dragonflyhold.hashing import hash64
from dragonflyhold.ratelimits import QuotaBounds

ACCOUNT = AccountName("branch")
LATENCY_S = 0.001
SILENCE_S = 1.6
RECONNECT_S = 0.1
# Longest time for which a request waits that is refused then.
UNSENT_S = 4.0


class End:
    """One end of a link between a gateway and an agent."""

    def __init__(self, fleet: "Fleet", owner: "Gateway | Agent", peer: "Gateway | Agent") -> None:
        self.is_open = True
        self.was_silent = False
        self.owner = owner
        self.peer = peer
        self.other: End = self
        self._fleet = fleet

    def send(self, message: Message) -> None:
        """Deliver a message to the other end, unless it is lost."""
        fleet, other = self._fleet, self.other
        fleet.messages += 1
        if not fleet.is_cut(self.owner, self.peer):
            fleet.call(
                LATENCY_S, lambda: other.is_open and self.peer.receive(other, message), self.peer
            )


class Process:
    """A process that may be killed or frozen."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.is_alive = True
        self.frozen_until = 0.0


class Agent(Process):
    """An agent process."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        super().__init__(number)
        self.ends: list[End] = []
        self.counter = AccountCounter(
            lambda: list(self.ends),
            lambda delay_s, call: fleet.call(delay_s, call, self),
            lambda event, amount: None,
            fleet.clock,
        )

    def opened(self, end: End) -> None:
        """Handle a new link."""
        self.ends.append(end)
        self.counter.note_gateways(len(self.ends))

    def closed(self, end: End) -> None:
        """Handle a closed link."""
        self.ends.remove(end)
        self.counter.remove(end)
        self.counter.note_gateways(len(self.ends))

    def receive(self, end: End, message: Message) -> None:
        """Handle a message."""
        match message:
            case TokenRequest():
                self.counter.answer(end, message)
            case TokenReport():
                self.counter.apply(end, message)


@dataclasses.dataclass
class AgentHandle:
    """What a gateway knows of an agent."""

    ip_hash: int
    link: End | None = None


class Gateway(Process):
    """A gateway process."""

    def __init__(self, fleet: "Fleet", number: int, known_gateways: int | None) -> None:
        super().__init__(number)
        self.handles = {
            number: AgentHandle(hash64(f"agent{number}".encode())) for number in fleet.agents
        }
        self.known_gateways = known_gateways
        self.limits = AccountLimits(self, fleet.bounds, lambda event, amount: None, fleet.clock)
        self.limit, self.version = fleet.limit, fleet.version

    def token_agents(self) -> Iterable[AgentHandle]:
        """Return the connected agents."""
        return [handle for handle in self.handles.values() if handle.link is not None]

    def count_known_gateways(self) -> int | None:
        """Return the number of gateways."""
        return self.known_gateways

    def opened(self, end: End) -> None:
        """Handle a new link."""
        handle = self.handles[end.peer.number]
        handle.link = end
        self.limits.note_agent_gained(handle)

    def closed(self, end: End) -> None:
        """Handle a closed link."""
        handle = self.handles[end.peer.number]
        if handle.link is end:
            handle.link = None
            self.limits.note_agent_lost(handle, end.was_silent)

    def receive(self, end: End, message: Message) -> None:
        """Handle a message."""
        match message:
            case TokenReply():
                self.limits.note_reply(message)
            case TokenQuery():
                self.limits.answer(end, message)


class Fleet:
    """All processes, their links, and what was sent."""

    def __init__(
        self, gateways: int, agents: int, limit: TokenLimit, bounds: QuotaBounds, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.messages = 0
        self.bounds, self.limit, self.version = bounds, limit, 1
        # Share of the granted requests that wait, are refused and give their tokens back.
        self.unsent_share = 0.0
        # Time and tokens of each request that was sent, and of those refused, by cause.
        self.sent: list[tuple[float, int]] = []
        self.refused: list[tuple[float, int, str]] = []
        self._events: list[tuple[float, int, Callable[[], object], Process | None]] = []
        self._order = itertools.count()
        self._cuts: set[tuple[Process, Process]] = set()
        self._ends: dict[tuple[int, int], tuple[End, End]] = {}
        self.agents = {number: Agent.__new__(Agent) for number in range(agents)}
        for number in self.agents:
            self.agents[number] = Agent(self, number)
        self.gateways = {number: Gateway(self, number, None) for number in range(gateways)}
        self._connect_all()
        self._tick()

    def clock(self) -> float:
        """Return the virtual time."""
        return self.now

    def call(self, delay_s: float, call: Callable[[], object], process: Process | None) -> None:
        """Call later, unless the process has ended by then; a frozen one does when it wakes."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), call, process))

    def run(self, until: float) -> None:
        """Play all events up to a time."""
        while self._events and self._events[0][0] <= until:
            at, order, call, process = heapq.heappop(self._events)
            if process is not None and process.frozen_until > at:
                heapq.heappush(self._events, (process.frozen_until, order, call, process))
                continue
            self.now = at
            if process is None or process.is_alive:
                call()
        self.now = until

    # Links

    def is_cut(self, left: Process, right: Process) -> bool:
        """Return whether a message between two processes is lost."""
        return (left, right) in self._cuts or (right, left) in self._cuts

    def _connect_all(self) -> None:
        for gateway in self.gateways.values():
            for agent in self.agents.values():
                if (gateway.number, agent.number) not in self._ends and not self.is_cut(
                    gateway, agent
                ):
                    self._connect(gateway, agent)

    def _connect(self, gateway: Gateway, agent: Agent) -> None:
        processes = (gateway, agent)
        if not all(item.is_alive and item.frozen_until <= self.now for item in processes):
            return
        left, right = End(self, gateway, agent), End(self, agent, gateway)
        left.other, right.other = right, left
        self._ends[gateway.number, agent.number] = (left, right)
        agent.opened(right)
        gateway.opened(left)

    def _disconnect(self, gateway: Process, agent: Process, was_silent: bool = True) -> None:
        ends = self._ends.pop((gateway.number, agent.number), None)
        for end in ends or ():
            end.is_open = False
            end.was_silent = was_silent
            if end.owner.is_alive:
                self.call(0.0, lambda end=end: end.owner.closed(end), end.owner)  # type: ignore[misc]

    def _tick(self) -> None:
        for gateway in self.gateways.values():
            if gateway.is_alive and gateway.frozen_until <= self.now:
                counts = [
                    len(self.agents[number].ends)
                    for number, handle in gateway.handles.items()
                    if handle.link is not None
                ]
                gateway.known_gateways = max([*counts, gateway.known_gateways or 0]) or None
                gateway.limits.flush()
        self._connect_all()
        self.call(0.25, self._tick, None)

    # Faults

    def cut(self, left: Process, right: Process, for_s: float) -> None:
        """Lose all messages between two processes; the link ends by its silence."""
        gateway, agent = (left, right) if isinstance(left, Gateway) else (right, left)
        self._cuts.add((gateway, agent))
        ends = self._ends.get((gateway.number, agent.number))

        def end_link() -> None:
            if self._ends.get((gateway.number, agent.number)) is ends and self.is_cut(
                gateway, agent
            ):
                self._disconnect(gateway, agent)

        self.call(SILENCE_S, end_link, None)
        self.call(for_s, lambda: self._cuts.discard((gateway, agent)), None)

    def freeze(self, process: Process, for_s: float) -> None:
        """Stop a process; its links end by their silence."""
        process.frozen_until = self.now + for_s
        if for_s > SILENCE_S:
            for left, right in list(self._ends.values()):
                if process in (left.owner, right.owner):
                    self.call(
                        SILENCE_S,
                        lambda left=left: self._disconnect(left.owner, left.peer),  # type: ignore[misc]
                        None,
                    )

    def kill(self, process: Process, down_s: float) -> None:
        """End a process, and start it again later without its memory."""
        if not process.is_alive:
            return
        process.is_alive = False
        for left, right in list(self._ends.values()):
            if process in (left.owner, right.owner):
                self._disconnect(left.owner, left.peer, was_silent=False)

        def restart() -> None:
            if isinstance(process, Gateway):
                self.gateways[process.number] = Gateway(self, process.number, None)
            else:
                self.agents[process.number] = Agent(self, process.number)
            self._connect_all()

        self.call(down_s, restart, None)

    def change_limit(self, limit: TokenLimit, spread_s: float) -> None:
        """Publish a new limit; gateways learn of it one after the other."""
        self.limit, self.version = limit, self.version + 1
        version = self.version

        def learn(number: int) -> None:
            if self.gateways[number].version < version:
                self.gateways[number].limit, self.gateways[number].version = limit, version

        for number in self.gateways:
            self.call(self.rng.uniform(0, spread_s), lambda n=number: learn(n), None)  # type: ignore[misc]

    # Requests

    def request(self, gateway: Gateway, tokens: int) -> None:
        """Let a request arrive at a gateway."""
        is_concluded = False

        def conclude(decision: Decision) -> None:
            nonlocal is_concluded
            is_concluded = True
            if decision.is_granted and self.rng.random() < self.unsent_share:
                taken = Taken(ACCOUNT, tokens, self.now, decision.source)
                self.call(
                    self.rng.uniform(0.0, UNSENT_S), lambda: gateway.limits.put_back(taken), gateway
                )
            elif decision.is_granted:
                self.sent.append((self.now, tokens))
            else:
                self.refused.append((self.now, tokens, decision.cause.value))

        number = gateway.limits.begin(ACCOUNT, gateway.limit, gateway.version, tokens, conclude)
        if number is not None:
            self.call(
                REPLY_TIMEOUT_S,
                lambda: is_concluded or conclude(gateway.limits.give_up(number)),
                gateway,
            )

    def arrive(self, rate: float, mean_tokens: int, weights: list[float], until: float) -> None:
        """Let requests arrive in a Poisson process, at gateways by weight."""

        def next_one() -> None:
            numbers = list(self.gateways)
            (number,) = self.rng.choices(numbers, weights[: len(numbers)])
            gateway = self.gateways[number]
            if gateway.is_alive:
                tokens = max(1, int(mean_tokens * self.rng.choice((0.2, 0.5, 1, 1, 2.3))))
                self.call(0.0, lambda: self.request(gateway, tokens), gateway)
            if self.now < until:
                self.call(self.rng.expovariate(rate), next_one, None)

        self.call(0.0, next_one, None)

    # Results

    def most_in_window(self, begin: float = 0.0, end: float = 1e9) -> float:
        """Return the most tokens that were sent in one window between two times."""
        window_s, total, most, first = self.bounds.window_s, 0, 0, 0
        sent = [(at, tokens) for at, tokens in self.sent if begin <= at <= end]
        for at, tokens in sent:
            total += tokens
            while sent[first][0] <= at - window_s:
                total -= sent[first][1]
                first += 1
            most = max(most, total)
        return most

    def used(self, begin: float, end: float) -> float:
        """Return the tokens that were sent between two times."""
        return sum(tokens for at, tokens in self.sent if begin <= at < end)
