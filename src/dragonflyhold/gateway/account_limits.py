"""Gateway side of the token limits of client accounts; the decisions are ``ratelimits``'.

Each request takes its tokens before it is sent: from those granted before, from the agent that
counts for all gateways, or, while no agent replies, from this gateway's own part.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Protocol, final

from dragonflyhold.accounts import AccountName, TokenLimit
from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.message_fields import MAX_NUMBER
from dragonflyhold.gateway.messages import (
    Message,
    TokenQuery,
    TokenReply,
    TokenReport,
    TokenRequest,
    UsedTokens,
)
from dragonflyhold.hashing import combine, hash64
from dragonflyhold.ratelimits import Allowance, Cause, Grant, Purse, QuotaBounds

# Time to wait for a reply, and to ask no more after one that did not come.
REPLY_TIMEOUT_S = 0.1
SILENT_AGENT_S = 0.5
# Time after which an account is forgotten that nobody uses.
EXPIRY_S = 60.0
# Number of gateways assumed before any agent has told it.
ASSUMED_GATEWAYS = 100
# Stands for the reply of an agent that gives none; it may reply again within this time.
NO_REPLY = Grant(0, 0.0, Cause.AWAY, 1.0)


class AgentPeer(Protocol):
    """A link to an agent."""

    def send(self, message: Message) -> None:
        """Send a message."""


class CountingAgent(Protocol):
    """An agent that may count for accounts."""

    @property
    def ip_hash(self) -> int:
        """Return the agent's place in the ranking by rendezvous hashing."""

    @property
    def link(self) -> AgentPeer | None:
        """Return the link to it, if it is connected."""


class CountingAgents(Protocol):
    """The agents of all VMs."""

    def token_agents(self) -> Iterable[CountingAgent]:
        """Return the connected agents that count for accounts."""

    def count_known_gateways(self) -> int | None:
        """Return the number of gateways, ``None`` before an agent has told it."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may be sent, and what decided it."""

    is_granted: bool
    cause: Cause
    # Time until there is room for the request if it comes back.
    return_s: float = 0.0
    # Epoch of the agent that granted the tokens, 0 if none did.
    source: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Tokens of one request."""

    account: AccountName
    tokens: int
    taken_at: float
    # Epoch of the agent that granted them, 0 if none did.
    source: int = 0


@final
@dataclasses.dataclass(slots=True)
class _Account:
    name: AccountName
    name_hash: int
    purse: Purse
    used_at: float
    version: int = 0
    agent: CountingAgent | None = None
    # Link on which the agent that counts was told of this gateway's use.
    told: AgentPeer | None = None
    # Epoch of the agent on that link, 0 before its first message.
    epoch: int = 0
    silent_until: float = 0.0


@final
@dataclasses.dataclass(slots=True)
class _Question:
    """A request for tokens without a reply yet."""

    account: _Account
    link: AgentPeer
    needed: int
    asked_at: float
    conclude: Callable[[Decision], None]


@final
class AccountLimits:
    """The limited accounts whose requests come to this gateway."""

    def __init__(
        self,
        agents: CountingAgents,
        bounds: QuotaBounds,
        count_event: Callable[[str, int], None],
        clock: Callable[[], float] = monotonic_now,
        is_first_start: bool = False,
    ) -> None:
        self._agents = agents
        self._bounds = bounds
        self._count_event = count_event
        self._clock = clock
        # On the first start of the whole system, nothing was sent before.
        self._started_at = clock() - (bounds.held_s if is_first_start else 0.0)
        # Time since which no agent is connected.
        self._alone_since = self._started_at
        self._accounts: dict[AccountName, _Account] = {}
        # Accounts with tokens to give back, or with something to tell.
        self._unsettled: dict[AccountName, _Account] = {}
        self._expire_at = 0.0
        self._numbers = itertools.count(1)
        self._questions: dict[int, _Question] = {}
        # Questions whose reply came too late for their request.
        self._given_up: dict[int, _Question] = {}

    # Requests

    async def acquire(
        self, name: AccountName, limit: TokenLimit, version: int, tokens: int
    ) -> Decision:
        """Take a request's tokens, and tell whether it may be sent."""
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()

        def conclude(decision: Decision) -> None:
            if not future.done():
                future.set_result(decision)

        number = self.begin(name, limit, version, tokens, conclude)
        if number is None:
            return future.result()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await future
        except TimeoutError:
            # The reply may have come in the same step of the event loop.
            return future.result() if future.done() else self.give_up(number)
        finally:
            self._forget(number)

    def begin(
        self,
        name: AccountName,
        limit: TokenLimit,
        version: int,
        tokens: int,
        conclude: Callable[[Decision], None],
    ) -> int | None:
        """Conclude at once, or ask an agent and return the number of the question."""
        now = self._clock()
        account = self._account(name, now)
        account.used_at = now
        self._unsettled[name] = account
        if version >= account.version:
            account.version = version
            account.purse.set_allowance(Allowance.of(limit, self._bounds))
        wanted = account.purse.wanted(tokens, now)
        if account.purse.take_batch(tokens, now):
            conclude(Decision(True, Cause.BATCH, source=account.purse.batch_source))
            return None
        refusal = account.purse.refusal(tokens, now)
        if refusal is not None:
            conclude(self._decide_alone(account, tokens, refusal))
            return None
        link = account.agent.link if account.agent is not None else None
        if link is None or now < account.silent_until:
            conclude(self._decide_alone(account, tokens, NO_REPLY))
            return None
        number = next(self._numbers)
        self._questions[number] = _Question(account, link, tokens, now, conclude)
        report = self._report(account, link, is_counter=True)
        link.send(TokenRequest(number, tokens, wanted, report))
        return number

    def note_reply(self, reply: TokenReply) -> None:
        """Conclude the request that waits for an agent's reply."""
        now, question = self._clock(), self._questions.pop(reply.number, None)
        grant = Grant(
            reply.tokens,
            max(0.0, reply.wait_s),
            _cause(reply.cause),
            min(self._bounds.held_s, max(0.0, reply.return_s)),
            min(1.0, max(0.0, reply.used_share)),
        )
        if question is None:
            late = self._given_up.pop(reply.number, None)
            if late is not None:
                late.account.purse.give_back_late(grant, late.asked_at, reply.epoch)
                self._unsettled[late.account.name] = late.account
                self._count_event("account_tokens_late", grant.tokens)
            return
        account = question.account
        if account.told is not question.link:
            self._conclude_moved(question, grant, now)
            return
        account.epoch = reply.epoch
        if account.purse.apply(grant, question.needed, question.asked_at, reply.epoch, now):
            question.conclude(Decision(True, grant.cause, source=reply.epoch))
        else:
            refusal = grant if not grant.tokens else NO_REPLY
            question.conclude(self._decide_alone(account, question.needed, refusal))

    def _conclude_moved(self, question: _Question, grant: Grant, now: float) -> None:
        """Use what an agent granted that no longer counts; the one that does now is told of it."""
        if grant.tokens:
            question.account.purse.charge(question.needed, now)
            question.conclude(Decision(True, grant.cause))
        else:
            question.conclude(self._decide_alone(question.account, question.needed, NO_REPLY))

    def give_up(self, number: int) -> Decision:
        """Decide without the reply to a question that has not come in time."""
        question = self._questions.pop(number)
        self._given_up[number] = question
        if question.account.told is question.link:
            question.account.silent_until = self._clock() + SILENT_AGENT_S
        self._count_event("account_reply_missing", 1)
        return self._decide_alone(question.account, question.needed, NO_REPLY)

    def _forget(self, number: int) -> None:
        """Take back a question whose request has ended."""
        question = self._questions.pop(number, None)
        if question is not None:
            self._given_up[number] = question

    def _decide_alone(self, account: _Account, tokens: int, refusal: Grant) -> Decision:
        """Decide after an agent's refusal, or without an agent."""
        if refusal.cause is not Cause.LIMIT and account.purse.take_alone(
            tokens, self._clock(), self._gateways(), refusal.cause
        ):
            return Decision(True, Cause.AWAY)
        return Decision(False, refusal.cause, refusal.return_s)

    def charge(self, taken: Taken) -> None:
        """Count a request's tokens again, as it is sent once more."""
        account, now = self._accounts.get(taken.account), self._clock()
        if account is not None:
            account.purse.charge(taken.tokens, now)
            self._unsettled[account.name] = account

    def put_back(self, taken: Taken) -> None:
        """Give back the tokens of a request that was sent nowhere."""
        account = self._accounts.get(taken.account)
        if account is not None:
            account.purse.put_back(taken.tokens, taken.taken_at, self._clock(), taken.source)
            self._unsettled[account.name] = account
            self._count_event("account_tokens_returned", taken.tokens)

    # Agents

    def note_agent_gained(self, agent: CountingAgent) -> None:
        """Let an agent count for the accounts for which it comes first."""
        for account in self._accounts.values():
            current = account.agent
            if current is None or _rank(account, agent) > _rank(account, current):
                self._move(account, agent)

    def note_agent_lost(self, agent: CountingAgent, was_silent: bool) -> None:
        """Let others count for the accounts of a disconnected agent."""
        now = self._clock()
        if not any(self._agents.token_agents()):
            self._alone_since = now
        for account in self._accounts.values():
            if account.agent is agent:
                account.purse.note_counter_lost(was_silent, now)
                self._move(account, self._find(account))

    def answer(self, link: AgentPeer, query: TokenQuery) -> None:
        """Tell an agent what this gateway used of an account."""
        account = self._account(AccountName(query.account), self._clock())
        is_counter = account.agent is not None and account.agent.link is link
        link.send(self._report(account, link, is_counter, query.epoch))

    def flush(self) -> None:
        """Give back tokens whose lease has ended, and forget unused accounts; call regularly."""
        now = self._clock()
        unsettled, self._unsettled = self._unsettled, {}
        for account in unsettled.values():
            expired = account.purse.end_lease(now)
            if expired:
                self._count_event("account_tokens_expired", expired)
            link = account.agent.link if account.agent is not None else None
            if account.purse.has_news and link is not None:
                link.send(self._report(account, link, is_counter=True))
            if not account.purse.is_settled:
                self._unsettled[account.name] = account
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_S / 10
            self._expire(now)

    def _expire(self, now: float) -> None:
        for account in list(self._accounts.values()):
            if now - account.used_at > max(EXPIRY_S, self._bounds.held_s):
                del self._accounts[account.name]
        for number, question in list(self._given_up.items()):
            if now - question.asked_at > self._bounds.held_s:
                del self._given_up[number]

    def _account(self, name: AccountName, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            purse = Purse(self._bounds, self._started_at)
            account = _Account(name, hash64(name.encode()), purse, now)
            self._accounts[name] = account
            account.agent = self._find(account)
            purse.note_counter(self._alone_since if account.agent is None else None)
        return account

    def _find(self, account: _Account) -> CountingAgent | None:
        return max(
            self._agents.token_agents(), key=lambda agent: _rank(account, agent), default=None
        )

    def _move(self, account: _Account, agent: CountingAgent | None) -> None:
        """Tell the agent that counts from now on, and the one that did."""
        former, account.agent = account.agent, agent
        account.silent_until = 0.0
        account.purse.note_counter(self._alone_since if agent is None else None)
        if agent is not None and agent.link is not None:
            agent.link.send(self._report(account, agent.link, is_counter=True))
        if former is not None and former is not agent and former.link is not None:
            former.link.send(self._make_report(account, is_counter=False, used=()))

    def _gateways(self) -> int:
        return max(1, self._agents.count_known_gateways() or ASSUMED_GATEWAYS)

    def _report(
        self, account: _Account, link: AgentPeer, is_counter: bool, epoch: int = 0
    ) -> TokenReport:
        """Return what an agent does not know; one that does not count here gets no more."""
        if not is_counter:
            return self._make_report(account, is_counter=False, used=())
        now, is_first = self._clock(), account.told is not link
        if is_first:
            account.told, account.epoch = link, 0
        account.epoch = epoch or account.epoch
        rows = account.purse.report(account.epoch, is_first, now)
        used = [UsedTokens(now - row.at, row.tokens, row.source) for row in rows]
        return self._make_report(account, is_counter=True, used=used)

    def _make_report(
        self, account: _Account, is_counter: bool, used: Iterable[UsedTokens]
    ) -> TokenReport:
        return TokenReport(
            account.name,
            account.version,
            min(MAX_NUMBER, account.purse.allowance.granted),
            self._bounds.held_s,
            self._agents.count_known_gateways() or 0,
            is_counter,
            self._clock() - self._started_at,
            list(used),
            account.purse.seen_share,
            min(MAX_NUMBER, account.purse.allowance.burst),
        )


def _rank(account: _Account, agent: CountingAgent) -> int:
    return combine(account.name_hash, agent.ip_hash)


def _cause(value: str) -> Cause:
    try:
        return Cause(value)
    except ValueError:
        return Cause.LIMIT
