"""Agent side of the token limits of client accounts; the decisions are ``ratelimits``'.

For each account, gateways ask one agent. One that begins to count asks all gateways what they used,
and holds requests until it knows, for a short time.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Hashable, Iterable
from typing import Protocol, final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.gateway_count import GatewayCount
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.messages import (
    Message,
    TokenQuery,
    TokenReply,
    TokenReport,
    TokenRequest,
)
from dragonflyhold.ratelimits import AccountLedger, Cause, Grant, UsageRow

# Time after which an account is forgotten for which no gateway asks.
EXPIRY_S = 60.0
# Time for which requests wait until the agent knows what was sent, and before it asks again.
HELD_REQUEST_S = 0.03
QUERY_INTERVAL_S = 0.5
# Shortest time between two lines about the same account.
LOG_INTERVAL_S = 1.0
# Time for which a smaller number of gateways is not believed: some may be cut off.
GATEWAYS_HELD_S = 60.0
# Bounds of what gateways state, so that an odd message does no lasting harm.
MAX_HELD_S = 600.0


class GatewayLink(Hashable, Protocol):
    """A link to a gateway."""

    def send(self, message: Message) -> None:
        """Send a message."""


@final
@dataclasses.dataclass(slots=True)
class _Account:
    """One account, with the requests that wait until the agent knows what was sent."""

    ledger: AccountLedger[GatewayLink]
    held_s: float
    used_at: float
    queried_at: float = -1e9
    logged_at: float = -1e9
    waiting: list[tuple[GatewayLink, TokenRequest]] = dataclasses.field(default_factory=list)


@final
class AccountCounter:
    """The accounts for which gateways ask this agent."""

    def __init__(
        self,
        gateways: Callable[[], Iterable[GatewayLink]],
        call_later: Callable[[float, Callable[[], None]], object],
        count_event: Callable[[str, int], None],
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._gateways = gateways
        self._call_later = call_later
        self._count_event = count_event
        self._clock = clock
        self._epoch = random.randrange(1, 2**52)
        self._gateway_count = GatewayCount(clock, GATEWAYS_HELD_S)
        self._accounts: dict[str, _Account] = {}
        self._log = JsonLogger("accounts")

    def note_gateways(self, connected: int) -> None:
        """Record the number of connected gateways."""
        self._gateway_count.note(connected)

    def remove(self, link: GatewayLink) -> None:
        """Count no longer for a disconnected gateway."""
        for account in self._accounts.values():
            account.ledger.leave(link)

    def apply(self, link: GatewayLink, report: TokenReport) -> None:
        """Add what a gateway tells of an account."""
        now, account = self._clock(), self._accounts.get(report.account)
        if account is None:
            if not report.is_counter:
                return
            held_s = min(MAX_HELD_S, max(0.0, report.held_s))
            account = _Account(AccountLedger(held_s, self._epoch), held_s, now)
            self._accounts[report.account] = account
        if report.gateways > self._gateway_count.value:
            self._gateway_count.note(report.gateways)
        ledger, gateways = account.ledger, self._gateway_count.value
        if report.version:
            burst = math.inf if report.burst is None else report.burst
            ledger.set_limit(report.version, report.allowed, burst)
        rows = [UsageRow(now - max(0.0, row.age_s), row.tokens, row.source) for row in report.used]
        was_known = ledger.is_known
        if report.is_counter:
            age_s = max(0.0, report.age_s)
            ledger.join(link, age_s, now, gateways, rows, report.seen_share)
        else:
            ledger.leave(link)
        if ledger.is_known and not was_known:
            self._log.info(
                "An agent knows what was sent of an account.",
                account=report.account,
                gateways=gateways,
                after_ms=round((now - account.queried_at) * 1000),
            )
        if ledger.is_known and ledger.is_whole(gateways):
            self._answer_waiting(account)

    def answer(self, link: GatewayLink, request: TokenRequest) -> None:
        """Grant a gateway tokens, or tell when there is room."""
        self.apply(link, request.report)
        account, now = self._accounts.get(request.report.account), self._clock()
        if account is None:
            link.send(TokenReply(request.number, 0, 0.0, Cause.UNKNOWN.value, self._epoch))
            return
        account.used_at = now
        account.ledger.refresh(now, self._gateway_count.value)
        unasked = self._unasked(account, link, request.needed, now)
        if unasked:
            if not account.ledger.is_known:
                self._log.info(
                    "An agent begins to count for an account.", account=request.report.account
                )
            account.waiting.append((link, request))
            self._call_later(HELD_REQUEST_S, lambda: self._answer_waiting(account))
            for gateway in unasked:
                gateway.send(TokenQuery(request.report.account, self._epoch))
        elif account.waiting:
            account.waiting.append((link, request))
        else:
            self._grant(account, link, request)

    def _unasked(
        self, account: _Account, link: GatewayLink, needed: int, now: float
    ) -> list[GatewayLink]:
        """Return the gateways to ask for what they used: those that do not count here."""
        if not self._should_query(account, needed, now):
            return []
        account.queried_at = now
        return [
            gateway
            for gateway in self._gateways()
            if gateway is not link and not account.ledger.counts_for(gateway)
        ]

    def _should_query(self, account: _Account, needed: int, now: float) -> bool:
        """Return whether to ask all gateways: some may count here that have not asked yet."""
        if now < account.queried_at + QUERY_INTERVAL_S:
            return False
        ledger, gateways = account.ledger, self._gateway_count.value
        if not ledger.is_known:
            return True
        return not ledger.is_whole(gateways) and not ledger.has_room(needed, now, gateways)

    def _answer_waiting(self, account: _Account) -> None:
        waiting, account.waiting = account.waiting, []
        for link, request in waiting:
            self._grant(account, link, request)

    def _grant(self, account: _Account, link: GatewayLink, request: TokenRequest) -> None:
        grant = account.ledger.take(
            request.needed, request.wanted, self._clock(), self._gateway_count.value
        )
        if grant.tokens:
            self._count_event("account_tokens_granted", grant.tokens)
        else:
            self._note_refused(account, request, grant)
        link.send(
            TokenReply(
                request.number,
                grant.tokens,
                grant.wait_s,
                grant.cause.value,
                self._epoch,
                grant.return_s,
                grant.used_share,
            )
        )

    def _note_refused(self, account: _Account, request: TokenRequest, grant: Grant) -> None:
        self._count_event(f"account_tokens_refused_{grant.cause.value}", 1)
        now = self._clock()
        if now >= account.logged_at + LOG_INTERVAL_S:
            account.logged_at = now
            self._log.info(
                "An account's limit leaves no room.",
                account=request.report.account,
                decided_by=grant.cause.value,
                config=request.report.version,
                allowed=round(request.report.allowed),
                needed=request.needed,
                room_ms=round(grant.wait_s * 1000),
                gateways=self._gateway_count.value,
            )

    def expire(self) -> None:
        """Forget accounts for which no gateway asks any more; call from time to time."""
        now = self._clock()
        for name, account in list(self._accounts.items()):
            if now - account.used_at > max(EXPIRY_S, account.held_s):
                del self._accounts[name]
