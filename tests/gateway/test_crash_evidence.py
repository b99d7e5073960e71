"""Tests of the evidence of crashes and of its exchange between processes."""

import dataclasses
import itertools
import random

import msgpack
import pytest

from dragonflyhold.gateway.crash_evidence import (
    DIGEST_BYTES,
    EVIDENCE_EXPIRY_S,
    MAX_PARTS,
    MAX_RECORDS,
    MAX_REQUESTS,
    SOUND_S,
    CrashEvidence,
    CrashId,
    CrashRecord,
    RequestTraits,
    Trait,
    compute_traits,
)
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.link import MAX_UNSENT_BYTES
from dragonflyhold.gateway.messages import MAX_FRAME_BYTES, CrashUpdate, decode, encode
from dragonflyhold.platform import codec


class Clock:
    """A clock that tests set."""

    now = 50.0

    def __call__(self) -> float:
        return self.now


def make_traits(content: str, *parts: str) -> RequestTraits:
    return RequestTraits(Trait(content.encode()), tuple(Trait(part.encode()) for part in parts))


def _request(
    body: bytes = b"x", target: bytes = b"/a", attempt: bytes = b"1", parts: bytes = b""
) -> ClientRequest:
    fields = {b"host": b"h", b"attempt-id": attempt, b"prompt-prefix": parts}
    return ClientRequest(b"POST", target, list(fields.items()), fields, body, 0.0)


def _traits(request: ClientRequest) -> RequestTraits:
    return compute_traits(request, codec.decode_request(request.fields))


def _fill(evidence: CrashEvidence, parts: int) -> None:
    """Add as many records as are kept, with as many requests as a record holds."""
    names = (Trait(number.to_bytes(DIGEST_BYTES, "big")) for number in itertools.count())
    for number in range(MAX_RECORDS):
        requests = {
            next(names): tuple(next(names) for _ in range(parts)) for _ in range(MAX_REQUESTS)
        }
        sound = {trait for of_one in requests.values() for trait in of_one}
        crash = CrashId(f"i-{number:010x}@{number}")
        evidence.merge([CrashRecord(crash, float(number), requests, sound)])


class TestSize:
    """Guards against records that no longer fit into a message, which closes every link."""

    @pytest.mark.parametrize("parts", [0, 2, MAX_PARTS])
    def test_all_records_fit_into_a_message(self, parts: int) -> None:
        evidence = CrashEvidence(Clock())
        _fill(evidence, parts)
        assert len(encode(evidence.snapshot())) < min(MAX_UNSENT_BYTES, MAX_FRAME_BYTES)
        newest = max(evidence.records(), key=lambda record: record.crashed_at)
        assert newest.crash == f"i-{MAX_RECORDS - 1:010x}@{MAX_RECORDS - 1}"

    def test_dropped_records_make_room(self) -> None:
        clock = Clock()
        evidence = CrashEvidence(clock)
        _fill(evidence, 2)
        clock.now += 2 * EVIDENCE_EXPIRY_S
        evidence.expire()
        evidence.record_crash(CrashId("r1@1"), make_traits("c", "a"))
        assert [record.crash for record in evidence.records()] == ["r1@1"]


class TestTraits:
    """Traits of requests."""

    def test_all_attempts_have_the_same_traits(self) -> None:
        assert _traits(_request(attempt=b"1")) == _traits(_request(attempt=b"2"))

    def test_parts_of_the_content_are_delimited(self) -> None:
        assert _traits(_request(b"bc", b"/a")) != _traits(_request(b"c", b"/ab"))

    def test_the_last_part_of_a_prompt_is_no_trait(self) -> None:
        """It belongs to the request or its session, and is in no other request."""
        first = _traits(_request(b"1", parts=b"aa:5,bb:7,cc:1"))
        second = _traits(_request(b"2", parts=b"aa:9,bb:2,dd:1"))
        assert first.parts == second.parts
        assert len(first.parts) == 2
        assert first.content != second.content


class TestSoundTraits:
    """Answers that end whole show that a request did not crash its upstream."""

    @pytest.mark.parametrize("age_s", [-1.0, 0.0, SOUND_S - 1])
    def test_traits_of_whole_answers_are_sound(self, age_s: float) -> None:
        clock = Clock()
        evidence = CrashEvidence(clock)
        if age_s >= 0:
            evidence.note_answered(make_traits("c0", "a"))
            clock.now += age_s
        evidence.record_crash(CrashId("r1"), make_traits("c1", "a", "b"))
        if age_s < 0:
            assert evidence.note_answered(make_traits("c0", "a"))
        assert evidence.records()[0].sound == {b"a"}

    def test_old_answers_show_nothing(self) -> None:
        clock = Clock()
        evidence = CrashEvidence(clock)
        evidence.note_answered(make_traits("c0", "a"))
        clock.now += SOUND_S + 1
        evidence.record_crash(CrashId("r1"), make_traits("c1", "a"))
        assert evidence.records()[0].sound == set()

    def test_a_process_adds_what_it_knows(self) -> None:
        """Guards against sound traits that only the gateway that did not see the crash knows."""
        first, second = CrashEvidence(Clock()), CrashEvidence(Clock())
        second.note_answered(make_traits("c0", "a"))
        news = first.record_crash(CrashId("r1"), make_traits("c1", "a"))
        additions = second.add_sound_traits(second.apply(first.encode(news)))
        first.apply(second.encode(additions))
        assert first.records()[0].sound == {b"a"}
        assert first.digest == second.digest


class TestExchange:
    """Processes that exchange records know the same in the end."""

    @pytest.mark.parametrize("seed", range(5))
    def test_order_and_repetition_do_not_matter(self, seed: int) -> None:
        rng = random.Random(seed)
        sources = [CrashEvidence(Clock()) for _ in range(3)]
        updates: list[CrashUpdate] = []
        for number in range(40):
            source = rng.choice(sources)
            traits = make_traits(f"c{number % 9}", f"p{number % 4}", "common")
            if rng.random() < 0.3:
                news = source.note_answered(traits)
            else:
                news = source.record_crash(CrashId(f"r{rng.randrange(4)}"), traits)
            updates.append(source.encode(news))
        digests = set()
        for _ in range(3):
            target = CrashEvidence(Clock())
            for update in rng.sample(updates + updates, 2 * len(updates)):
                target.apply(update)
            digests.add(target.digest)
        assert len(digests) == 1

    def test_records_survive_encoding_with_their_age(self) -> None:
        clock, later = Clock(), Clock()
        evidence, other = CrashEvidence(clock), CrashEvidence(later)
        evidence.record_crash(CrashId("r1"), make_traits("c1", "a", "b"))
        clock.now += 7
        message = decode(msgpack.unpackb(encode(evidence.snapshot())))
        assert isinstance(message, CrashUpdate)
        assert other.apply(message)
        assert other.digest == evidence.digest
        assert other.records()[0].crashed_at == pytest.approx(later.now - 7)
        assert not other.apply(message)

    def test_size_is_bounded_alike_everywhere(self) -> None:
        names = [f"c{number}" for number in range(MAX_REQUESTS + 20)]
        tables = [CrashEvidence(Clock()), CrashEvidence(Clock())]
        for table, order in zip(tables, (names, names[::-1]), strict=True):
            for name in order:
                table.record_crash(CrashId("r1"), make_traits(name))
        assert tables[0].digest == tables[1].digest
        assert len(tables[0].records()[0].requests) == MAX_REQUESTS
        for number in range(MAX_RECORDS + 5):
            tables[0].record_crash(CrashId(f"s{number}"), make_traits("c"))
        assert len(tables[0].records()) == MAX_RECORDS

    def test_records_expire(self) -> None:
        clock = Clock()
        evidence = CrashEvidence(clock)
        evidence.record_crash(CrashId("r1"), make_traits("c1"))
        update = evidence.snapshot()
        clock.now += EVIDENCE_EXPIRY_S + 1
        evidence.expire()
        assert evidence.records() == []
        old = CrashUpdate([dataclasses.replace(update.rows[0], age_s=EVIDENCE_EXPIRY_S + 1)])
        assert not evidence.apply(old)
