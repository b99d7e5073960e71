"""Evidence of crashes: which requests were in flight when an upstream crashed; does no I/O.

A request has traits that may be the cause of a crash: its whole content, and each part of its
prompt but the last one, which belongs to the request alone. A record names the requests of one
crash. An answer that ends whole shows that the traits of its request are sound.

Gateways and agents exchange records. Merging is idempotent and does not depend on the order, so
that lost or repeated messages do no harm, and the digest shows whether two processes know the same.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NewType, final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.messages import CrashRow, CrashUpdate
from dragonflyhold.gateway.model import RequestInfo, Upstream

# Digest of the content of a request, or of the id of a part of its prompt.
Trait = NewType("Trait", bytes)
# Identifies one incarnation of an upstream, which crashes at most once.
CrashId = NewType("CrashId", str)

DIGEST_BYTES = 12
# Records are dropped after this time.
EVIDENCE_EXPIRY_S = 1800.0
# A trait counts as sound at a crash if an answer to a request with it ended whole this long before.
SOUND_S = 15.0
MAX_RECORDS = 256
# Limits for the requests of a record, and for the parts of a request.
MAX_REQUESTS = 128
MAX_PARTS = 32
# Limit for the traits of all records, which must fit into one message to a process that starts,
# and for those of one, so that enough records are kept to compare them.
MAX_TRAITS = 12_000
MAX_RECORD_TRAITS = MAX_TRAITS // 8
# Size limit of the table of sound traits; the oldest entries are dropped first.
MAX_SOUND_TRAITS = 8192


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What may be the cause of a crash in a request."""

    content: Trait
    parts: tuple[Trait, ...]

    def __iter__(self) -> Iterator[Trait]:
        yield self.content
        yield from self.parts


def compute_traits(request: ClientRequest, request_info: RequestInfo) -> RequestTraits:
    """Return the traits of a request, which are the same for all its attempts."""
    content = (request.method, request.fields.get(b"host", b""), request.target, request.body)
    parts = request_info.prompt_parts[:-1][:MAX_PARTS]
    return RequestTraits(_digest(content), tuple(_digest((part,)) for part in parts))


def _digest(texts: Iterable[bytes]) -> Trait:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        digest.update(len(text).to_bytes(4, "big") + text)
    return Trait(digest.digest())


def crash_id(upstream: Upstream) -> CrashId:
    """Return the id of the crash that ends an incarnation of an upstream."""
    return CrashId(f"{upstream.upstream_id}@{upstream.start_time_ms}")


@final
@dataclasses.dataclass(slots=True)
class CrashRecord:
    """What is known of one crash."""

    crash: CrashId
    # Monotonic time of the crash, as far as known here.
    crashed_at: float
    # Requests in flight: content and parts.
    requests: dict[Trait, tuple[Trait, ...]] = dataclasses.field(default_factory=dict)
    # Traits of requests whose answers ended whole, shortly before the crash or after it.
    sound: set[Trait] = dataclasses.field(default_factory=set)
    # Whether answers to requests with parts ended whole at some gateway shortly before the crash.
    was_serving: bool = False

    @property
    def size(self) -> int:
        """Return the number of traits, counted once for each request."""
        return sum(1 + len(parts) for parts in self.requests.values())

    @property
    def sound_in_flight(self) -> set[Trait]:
        """Return the sound traits of requests in flight; others may come before their request."""
        return self.sound & self.traits()

    def traits(self) -> set[Trait]:
        """Return the traits of all requests in flight."""
        return {*self.requests, *(part for parts in self.requests.values() for part in parts)}

    def merge(self, other: "CrashRecord") -> "CrashRecord | None":
        """Add what another process knows; return what is new, ``None`` if nothing is."""
        merged = dict(self.requests)
        for content, parts in other.requests.items():
            # The same content may come with other parts; all processes keep the same ones.
            merged[content] = max(parts, merged.get(content, parts))
        kept = _limit_requests(merged)
        requests = dict(kept.items() - self.requests.items())
        sound = other.sound - self.sound
        if not requests and not sound and other.was_serving <= self.was_serving:
            return None
        self.requests = kept
        self.sound |= sound
        self.was_serving |= other.was_serving
        return CrashRecord(self.crash, self.crashed_at, requests, sound, self.was_serving)


def _limit_requests(requests: dict[Trait, tuple[Trait, ...]]) -> dict[Trait, tuple[Trait, ...]]:
    """Return the requests to keep, the same in whichever order a process learns of them."""
    kept, size = {}, 0
    for content, parts in sorted(requests.items())[:MAX_REQUESTS]:
        size += 1 + len(parts)
        if size > MAX_RECORD_TRAITS:
            break
        kept[content] = parts
    return kept


@final
class CrashEvidence:
    """The records that a process knows."""

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        self._clock = clock
        self._records: collections.OrderedDict[CrashId, CrashRecord] = collections.OrderedDict()
        # Times of the last whole answers to requests with a trait, oldest first.
        self._sound_at: collections.OrderedDict[Trait, float] = collections.OrderedDict()
        self._answered_at = -SOUND_S
        # Crashes by trait that is not known as sound there.
        self._suspects: dict[Trait, set[CrashId]] = {}
        self._digest: bytes | None = None
        # Traits of all records, counted once for each request.
        self._size = 0

    @property
    def digest(self) -> bytes:
        """Return a digest of all records, equal for processes that know the same."""
        if self._digest is None:
            digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
            for crash in sorted(self._records):
                record = self._records[crash]
                digest.update(crash.encode() + b"\0%d\0" % record.was_serving)
                digest.update(b"".join(sorted(record.requests)) + b"\0")
                digest.update(b"".join(sorted(record.sound_in_flight)))
            self._digest = digest.digest()
        return self._digest

    def records(self) -> list[CrashRecord]:
        """Return all records."""
        return list(self._records.values())

    def record_crash(self, crash: CrashId, traits: RequestTraits) -> list[CrashRecord]:
        """Record a request that was in flight at a crash; return what is new."""
        now = self._clock()
        record = CrashRecord(crash, now, {traits.content: traits.parts})
        record.was_serving = now - self._answered_at <= SOUND_S
        news = self.merge([record])
        return [*news, *self.add_sound_traits(news)]

    def add_sound_traits(self, news: Sequence[CrashRecord]) -> list[CrashRecord]:
        """Add the traits of new records that this process knows as sound; return what is new."""
        now = self._clock()
        changes = []
        for record in news:
            sound = {trait for trait in record.traits() if self._is_sound(trait, now)}
            changes.append(CrashRecord(record.crash, record.crashed_at, {}, sound))
        return self.merge(changes)

    def note_answered(self, traits: RequestTraits) -> list[CrashRecord]:
        """Record an answer that ended whole; return what is new."""
        now = self._clock()
        if traits.parts:
            self._answered_at = now
        for trait in traits:
            self._sound_at.pop(trait, None)
            self._sound_at[trait] = now
        while len(self._sound_at) > MAX_SOUND_TRAITS:
            self._sound_at.popitem(last=False)
        return self.merge(
            [
                CrashRecord(crash, self._records[crash].crashed_at, {}, {trait})
                for trait in traits
                for crash in self._suspects.get(trait, ())
            ]
        )

    def snapshot(self) -> CrashUpdate:
        """Return all records as a message."""
        return self.encode(
            [dataclasses.replace(record, sound=record.sound_in_flight) for record in self.records()]
        )

    def encode(self, records: Sequence[CrashRecord]) -> CrashUpdate:
        """Return records as a message; times are encoded as ages."""
        now = self._clock()
        return CrashUpdate(
            [
                CrashRow(
                    record.crash,
                    round(now - record.crashed_at, 3),
                    sorted(record.requests.items()),
                    sorted(record.sound),
                    record.was_serving,
                )
                for record in records
            ]
        )

    def apply(self, update: CrashUpdate) -> list[CrashRecord]:
        """Merge the records of a message; return what is new."""
        now = self._clock()
        return self.merge(
            [
                CrashRecord(
                    CrashId(row.crash),
                    now - max(0.0, row.age_s),
                    {
                        Trait(content): tuple(Trait(part) for part in parts)
                        for content, parts in row.requests
                    },
                    {Trait(trait) for trait in row.sound},
                    row.was_serving,
                )
                for row in update.rows
            ]
        )

    def merge(self, records: Sequence[CrashRecord]) -> list[CrashRecord]:
        """Merge records; return what is new."""
        now = self._clock()
        changes = []
        for record in records:
            if now - record.crashed_at > EVIDENCE_EXPIRY_S:
                continue
            known = self._records.setdefault(record.crash, CrashRecord(record.crash, now))
            if not known.requests:
                known.crashed_at = record.crashed_at
            size, traits = known.size, known.traits()
            change = known.merge(record)
            self._size += known.size - size
            for trait in traits - known.traits():
                self._remove_suspect(trait, record.crash)
            if change is not None:
                changes.append(change)
                self._index(known, change)
        while len(self._records) > MAX_RECORDS or self._size > MAX_TRAITS:
            self._drop(min(self._records.values(), key=lambda record: record.crashed_at).crash)
        if changes:
            self._digest = None
        return changes

    def expire(self) -> None:
        """Drop old records; call from time to time."""
        now = self._clock()
        for record in self.records():
            if now - record.crashed_at > EVIDENCE_EXPIRY_S:
                self._drop(record.crash)

    def _index(self, record: CrashRecord, change: CrashRecord) -> None:
        for trait in change.traits() - record.sound:
            self._suspects.setdefault(trait, set()).add(record.crash)
        for trait in change.sound:
            self._remove_suspect(trait, record.crash)

    def _remove_suspect(self, trait: Trait, crash: CrashId) -> None:
        crashes = self._suspects.get(trait)
        if crashes is not None:
            crashes.discard(crash)
            if not crashes:
                del self._suspects[trait]

    def _drop(self, crash: CrashId) -> None:
        record = self._records.pop(crash)
        self._size -= record.size
        for trait in record.traits():
            self._remove_suspect(trait, crash)
        self._digest = None

    def _is_sound(self, trait: Trait, now: float) -> bool:
        sound_at = self._sound_at.get(trait)
        return sound_at is not None and now - sound_at <= SOUND_S
