"""The choice of an upstream by load interpretation; does no I/O.

All gateways see the same reports, and a report says less the older it is. A gateway that chose the
least loaded upstream would choose the same one as all others until the next report. Instead it
estimates how many requests the other gateways send until the next reports, assumes that these even
out the loads as far as they suffice, and chooses each upstream with the probability with which it
gets one of them (M. Dahlin, Interpreting Stale Load Information, 1999). Without other requests that
is the least loaded upstream. With many it is any upstream, in proportion to its capacity.
"""

import dataclasses
import math
import random
from collections.abc import Sequence
from typing import final

from dragonflyhold.hashing import combine

HASH_RANGE = 2.0**64
# Requests that get to an upstream while a report on it is the last one, relative to those since the
# report: halfway to the next one on average, as many are still to come.
PERIOD_RATIO = 2.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of an upstream that a request may be sent to."""

    # Requests of all gateways as of the report, and further ones of this gateway since.
    reported: float
    own: float
    # Requests that it works on at once, less if its work takes longer than usual.
    capacity: float
    # Age of the report in seconds, 0 if there is none.
    age_s: float = 0.0
    # Added to its requests relative to its capacity; negative for a preferred upstream.
    handicap: float = 0.0
    # Whether it is in the gateway's data centre.
    is_near: bool = False

    @property
    def cost(self) -> float:
        """Requests relative to the capacity, with the handicap."""
        return (self.reported + self.own) / self.capacity + self.handicap


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Basis:
    """The inputs that decided a choice."""

    # Upstreams among which it was made, and those of them with a chance.
    candidates: int
    eligible: int
    # Requests of other gateways that the candidates probably get between two reports.
    unreported: float
    # Probability of the upstream that was chosen.
    probability: float


def choose(
    candidates: Sequence[Candidate],
    others_per_s: float,
    rng: random.Random,
    near_share: float = 1.0,
) -> tuple[int, Basis]:
    """Return the index of the chosen candidate, of at least one, and what decided.

    ``others_per_s`` is the rate at which other gateways send to an upstream, in requests a second;
    ``near_share`` is the share of all requests that comes from this gateway's data centre.
    """
    weights, unreported = _shares(candidates, others_per_s)
    near = [candidate for candidate in candidates if candidate.is_near]
    if unreported > 0.0 and _have_room(near, unreported):
        weights = _prefer_near(candidates, weights, near_share)
    chosen = rng.choices(range(len(candidates)), weights)[0]
    return chosen, _basis(weights, chosen, unreported)


def choose_for_key(
    candidates: Sequence[Candidate], hashes: Sequence[int], key_hash: int, others_per_s: float
) -> int:
    """Return the index of the candidate that all gateways choose for a key if they know the same.

    Keys are spread as ``choose`` spreads requests, by weighted rendezvous hashing, for which
    ``hashes`` has a value for each candidate.
    """
    weights, _ = _shares(candidates, others_per_s)

    def score(index: int) -> float:
        return weighted_score(key_hash, hashes[index], weights[index])

    return max(range(len(candidates)), key=score)


def weighted_score(key_hash: int, candidate_hash: int, weight: float) -> float:
    """Return the rank of a candidate for a key by weighted rendezvous hashing; the highest wins.

    Keys are spread in proportion to the weights; a change of one weight moves few keys.
    """
    uniform = (combine(key_hash, candidate_hash) + 0.5) / HASH_RANGE
    return -weight / math.log(uniform) if uniform < 1.0 else math.inf


def unevenness(upstreams: Sequence[Candidate]) -> float:
    """Return the highest load relative to the mean of at least one upstream; 1 is even.

    A mean of less than one request an upstream counts as one.
    """
    capacity = sum(upstream.capacity for upstream in upstreams)
    requests = sum(upstream.reported + upstream.own for upstream in upstreams)
    highest = max((upstream.reported + upstream.own) / upstream.capacity for upstream in upstreams)
    return max(1.0, highest * capacity / max(requests, len(upstreams)))


def _shares(candidates: Sequence[Candidate], others_per_s: float) -> tuple[list[float], float]:
    """Return the weight of each candidate, and the requests that reports don't count."""
    costs = [candidate.cost for candidate in candidates]
    unreported = PERIOD_RATIO * others_per_s * sum(candidate.age_s for candidate in candidates)
    if unreported > 0.0:
        level = _fill(candidates, costs, unreported)
        weights = [
            candidate.capacity * max(0.0, level - cost)
            for candidate, cost in zip(candidates, costs, strict=True)
        ]
        if any(weights):
            return weights, unreported
    # Too few requests, if any, to tell apart the level from the lowest cost.
    lowest = min(costs)
    return [1.0 if cost == lowest else 0.0 for cost in costs], unreported


def _have_room(candidates: Sequence[Candidate], requests: float) -> bool:
    """Return whether no request would wait if all of them went to these upstreams."""
    if not candidates:
        return False
    return _fill(candidates, [candidate.cost for candidate in candidates], requests) <= 1.0


def _prefer_near(
    candidates: Sequence[Candidate], weights: Sequence[float], near_share: float
) -> list[float]:
    """Move the weights to the gateway's data centre as far as the loads stay even.

    The near upstreams should get their part of all requests, and the gateways of this data centre
    send ``near_share`` of them: what exceeds that part goes elsewhere. If the gateways of other
    data centres do the same, each upstream gets what its weight says. ``near_share`` may be wrong,
    so that holds only while no request has to wait.
    """
    total = sum(weights)
    pairs = list(zip(candidates, weights, strict=True))
    near = sum(weight for candidate, weight in pairs if candidate.is_near) / total
    if not 0.0 < near < 1.0:
        return list(weights)
    probability = max(near, min(1.0, near / near_share))
    near_factor, far_factor = probability / near, (1.0 - probability) / (1.0 - near)
    return [
        weight * (near_factor if candidate.is_near else far_factor) for candidate, weight in pairs
    ]


def _fill(candidates: Sequence[Candidate], costs: Sequence[float], requests: float) -> float:
    """Return the cost of the lowest candidates once they have got so many requests more."""
    order = sorted(range(len(costs)), key=costs.__getitem__)
    capacity, level, left = 0.0, costs[order[0]], requests
    for index in order:
        needed = capacity * (costs[index] - level)
        if needed >= left:
            break
        left -= needed
        level = costs[index]
        capacity += candidates[index].capacity
    return level + left / capacity


def _basis(weights: Sequence[float], chosen: int, unreported: float) -> Basis:
    eligible = sum(weight > 0.0 for weight in weights)
    return Basis(len(weights), eligible, unreported, weights[chosen] / sum(weights))
