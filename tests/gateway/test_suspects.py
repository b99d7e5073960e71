"""Tests of requests that crash whatever runs them."""

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
    """Fingerprint."""

    def test_it_is_the_same_for_each_attempt(self) -> None:
        assert compute_fingerprint(_request(attempt=b"1")) == compute_fingerprint(
            _request(attempt=b"2")
        )

    def test_parts_do_not_run_into_each_other(self) -> None:
        assert compute_fingerprint(_request(b"bc", b"/a")) != compute_fingerprint(
            _request(b"c", b"/ab")
        )


class TestSuspectTable:
    """Suspect table."""

    def test_a_request_is_refused_at_the_limit(self) -> None:
        table = SuspectTable("g1", _Clock())
        for _ in range(CRASH_LIMIT):
            assert not table.is_refused(b"m")
            table.record_crash(b"m")
        assert table.is_refused(b"m")
        assert not table.is_refused(b"other")

    def test_breaks_at_several_gateways_add_up(self) -> None:
        """The request comes again at any machine."""
        tables = [SuspectTable(f"g{number}", _Clock()) for number in range(CRASH_LIMIT)]
        for table in tables:
            update = table.record_crash(b"m")
            for other in tables:
                other.apply(update)
                other.apply(update)
        assert all(table.is_refused(b"m") for table in tables)

    def test_a_request_without_further_breaks_is_forgotten(self) -> None:
        clock = _Clock()
        table = SuspectTable("g1", clock)
        for _ in range(CRASH_LIMIT):
            table.record_crash(b"m")
        clock.now += CRASH_EXPIRY_S + 1
        assert not table.is_refused(b"m")
