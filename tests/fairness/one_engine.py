"""A model of one engine's adapter slots that several accounts want; ``main`` prints a table.

It calls the decision code with a clock of its own: the turns of accounts order the loads, the needs
of accounts decide who gives way. A request that isn't loaded within its limit is refused.
"""

import collections
import dataclasses
import random
import statistics
import sys
from collections.abc import Callable, Iterator

from dragonflyhold.accounts import AccountName, ClientAccount
from dragonflyhold.fairness import (
    AccountNeed,
    Claim,
    TurnOrder,
    is_out_of_room,
    make_claim,
    summarize_claims,
)
from dragonflyhold.hashing import hash64

STEP_S = 0.01
RUN_S = 24.0
DISRUPTION_S = (8.0, 16.0)
SLOTS = 10
SLOT_TURN_S, USE_S, PATIENCE_S = 0.65, 0.4, 0.45
MAX_TRIES = 4


@dataclasses.dataclass(frozen=True)
class Account:
    """Traffic of one account; ``hot`` is the factor on its rate during the disruption."""

    name: str
    rate_per_s: float
    adapters: int = 200
    utility: float = 1.0
    hot: float = 1.0
    tries: int = 1
    priority: int | None = None


@dataclasses.dataclass(eq=False)
class Request:
    """A waiting request."""

    account: Account
    claim: Claim
    adapter: str
    arrived: float
    tries_left: int


@dataclasses.dataclass
class Outcome:
    """Requests by account during the disruption: asked for, served in time, refused at once."""

    asked: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    served: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    gave_way: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def share(self, name: str) -> float:
        """Return the share of an account's requests that were served."""
        return self.served[name] / max(1, self.asked[name])

    def others(self, name: str) -> float:
        """Return the share of all other accounts' requests that were served."""
        rest = [other for other in self.asked if other != name]
        return sum(self.served[o] for o in rest) / max(1, sum(self.asked[o] for o in rest))

    @property
    def overall(self) -> float:
        """Return the share of all requests that were served."""
        return sum(self.served.values()) / max(1, sum(self.asked.values()))


class Engine:
    """One engine, its agent and the gateways, as far as adapter slots are concerned."""

    def __init__(self, accounts: list[Account], seed: int, is_fair: bool = True) -> None:
        self.need, self.order = AccountNeed(), TurnOrder[str]()
        self.outcome = Outcome()
        self._accounts, self._is_fair = accounts, is_fair
        self._rng = random.Random(seed)
        self._waiting: dict[str, list[Request]] = {}
        # Adapters that hold a slot, and until when.
        self._resident: dict[str, float] = {}

    def run(
        self,
        slots: Callable[[float], int] = lambda now: SLOTS,
        at: float | None = None,
        failure: Callable[["Engine"], None] = lambda engine: None,
    ) -> Outcome:
        """Play the run; ``failure`` happens at a time of it."""
        for step in range(round(RUN_S / STEP_S)):
            now = step * STEP_S
            if at is not None and step == round(at / STEP_S):
                failure(self)
            for account in self._arrivals(now):
                self._admit(
                    Request(account, _claim(account), self._pick(account), now, account.tries),
                    now,
                    slots(now),
                )
            self._drop_late(now, slots(now))
            self._load(now, slots(now))
        return self.outcome

    def _arrivals(self, now: float) -> Iterator[Account]:
        for account in self._accounts:
            rate = account.rate_per_s * (account.hot if _is_disrupted(now) else 1.0)
            if self._rng.random() < rate * STEP_S:
                if _is_disrupted(now):
                    self.outcome.asked[account.name] += 1
                yield account

    def _pick(self, account: Account) -> str:
        return f"{account.name}/{self._rng.randrange(account.adapters)}"

    def _admit(self, request: Request, now: float, slots: int) -> None:
        is_within = self.need.note_request(request.claim.account, now)
        if request.adapter in self._resident:
            self._resident[request.adapter] = max(self._resident[request.adapter], now + USE_S)
            self._note_served(request)
            return
        backlog = len(self._waiting)
        is_bounded = self._is_fair and not is_within and request.adapter not in self._waiting
        if is_bounded and is_out_of_room(backlog, slots, PATIENCE_S):
            self.outcome.gave_way[request.account.name] += 1
            return
        self._waiting.setdefault(request.adapter, []).append(request)

    def _drop_late(self, now: float, slots: int) -> None:
        for adapter, requests in list(self._waiting.items()):
            late = [item for item in requests if now - item.arrived > PATIENCE_S]
            kept = [item for item in requests if item not in late]
            self._waiting[adapter] = kept
            if not kept:
                del self._waiting[adapter]
            for item in late:
                if item.tries_left > 1:
                    again = dataclasses.replace(item, arrived=now, tries_left=item.tries_left - 1)
                    self._admit(again, now, slots)

    def _load(self, now: float, slots: int) -> None:
        self._resident = {key: until for key, until in self._resident.items() if until > now}
        while self._waiting and len(self._resident) < slots:
            adapter = self._next(now)
            claims = self._claims(adapter)
            self.order.charge(claims, SLOT_TURN_S / SLOTS)
            for item in self._waiting.pop(adapter):
                self._note_served(item)
            self._resident[adapter] = now + SLOT_TURN_S

    def _note_served(self, request: Request) -> None:
        if _is_disrupted(request.arrived):
            self.outcome.served[request.account.name] += 1

    def _next(self, now: float) -> str:
        claims = {adapter: self._claims(adapter) for adapter in self._waiting}
        worth = {adapter: sum(by_claim.values()) for adapter, by_claim in claims.items()}
        if self._is_fair:
            for adapter in claims:
                parts = [(item.claim, item.account.utility) for item in self._waiting[adapter]]
                for share in summarize_claims(parts, lambda tag: self.need.share(tag, now)):
                    self.order.note_need(share)
            worth |= self.order.weigh(claims, worth)
        return max(worth, key=lambda adapter: (worth[adapter], hash64(adapter.encode())))

    def _claims(self, adapter: str) -> dict[Claim, float]:
        claims: dict[Claim, float] = {}
        for item in self._waiting[adapter]:
            claims[item.claim] = claims.get(item.claim, 0.0) + item.account.utility
        return claims


def _claim(account: Account) -> Claim:
    claim = make_claim(ClientAccount(AccountName(account.name), account.priority), 0)
    assert claim is not None
    return claim


def _is_disrupted(now: float) -> bool:
    return DISRUPTION_S[0] <= now < DISRUPTION_S[1]


def lost_engines(now: float) -> int:
    """Return the slots of an engine while two fifths of them are gone."""
    return SLOTS * 3 // 5 if _is_disrupted(now) else SLOTS


# Eight ordinary accounts that ask for two thirds of the slots together, and a special one.
ORDINARY = [Account(f"usual-{number}", 1.2) for number in range(8)]
LOADS: dict[str, tuple[list[Account], Callable[[float], int]]] = {
    "hot account": ([*ORDINARY, Account("special", 2.4, hot=7.5)], lambda now: SLOTS),
    "crowd that repeats": (
        [*ORDINARY, Account("special", 2.4, hot=4.0, tries=MAX_TRIES)],
        lambda now: SLOTS,
    ),
    "hot adapters": ([*ORDINARY, Account("special", 6.0, adapters=12, hot=7.5)], lambda now: SLOTS),
    "long prompts": ([*ORDINARY, Account("special", 1.2, utility=4.0, hot=7.5)], lambda now: SLOTS),
    "burst, lost engines": (
        [
            *(dataclasses.replace(item, hot=2.0) for item in ORDINARY),
            Account("special", 4.8, hot=2.0),
        ],
        lost_engines,
    ),
}


def main(seeds: int) -> None:
    """Print who is served under each load, by worth alone and by turns, over several seeds."""
    print("| load | others, calm | special, by worth | others | by turns | others | gave way |")
    print("|---|---|---|---|---|---|---|")
    for name, (accounts, slots) in LOADS.items():
        calm = [dataclasses.replace(item, hot=1.0, tries=1) for item in accounts]
        outcomes = [Engine(calm, seed).run() for seed in range(seeds)]
        cells = [statistics.mean(item.others("special") for item in outcomes)]
        for is_fair in (False, True):
            outcomes = [Engine(accounts, seed, is_fair).run(slots) for seed in range(seeds)]
            cells.append(statistics.mean(item.share("special") for item in outcomes))
            cells.append(statistics.mean(item.others("special") for item in outcomes))
        gave_way = statistics.mean(sum(item.gave_way.values()) for item in outcomes)
        print(f"| {name} | " + " | ".join(f"{cell:.3f}" for cell in cells) + f" | {gave_way:.0f} |")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
