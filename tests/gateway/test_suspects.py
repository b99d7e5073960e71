"""Tests of the detection of requests that crash upstreams."""

from dragonflyhold.gateway.http_server import ClientRequest
from dragonflyhold.gateway.suspects import (
    CRASH_EXPIRY_S,
    CRASH_LIMIT,
    SuspectTable,
    compute_fingerprint,
)


class _Clock:
    now = 5.0

    def __call__(self) -> float:
        return self.now


def _request(body: bytes = b"x", target: bytes = b"/a", attempt: bytes = b"1") -> ClientRequest:
    fields = {b"host": b"h", b"attempt-id": attempt}
    return ClientRequest(b"POST", target, list(fields.items()), fields, body, 0.0)


class TestFingerprint:
    """Fingerprints of requests."""

    def test_all_attempts_have_the_same_fingerprint(self) -> None:
        assert compute_fingerprint(_request(attempt=b"1")) == compute_fingerprint(
            _request(attempt=b"2")
        )

    def test_parts_of_a_request_are_delimited(self) -> None:
        assert compute_fingerprint(_request(b"bc", b"/a")) != compute_fingerprint(
            _request(b"c", b"/ab")
        )


class TestSuspectTable:
    """Crash counts and refusals."""

    def test_a_request_is_refused_at_the_limit(self) -> None:
        table = SuspectTable("g1", _Clock())
        for _ in range(CRASH_LIMIT):
            assert not table.is_refused(b"m")
            table.record_crash(b"m")
        assert table.is_refused(b"m")
        assert not table.is_refused(b"other")

    def test_crashes_at_several_gateways_add_up(self) -> None:
        """Clients may send the request again through any gateway."""
        tables = [SuspectTable(f"g{number}", _Clock()) for number in range(CRASH_LIMIT)]
        for table in tables:
            update = table.record_crash(b"m")
            for other in tables:
                other.apply(update)
                other.apply(update)
        assert all(table.is_refused(b"m") for table in tables)

    def test_counts_expire_without_further_crashes(self) -> None:
        clock = _Clock()
        table = SuspectTable("g1", clock)
        for _ in range(CRASH_LIMIT):
            table.record_crash(b"m")
        clock.now += CRASH_EXPIRY_S + 1
        assert not table.is_refused(b"m")
