"""Tests of the counts by which the limits of upstreams are kept."""

import random

import pytest

from dragonflyhold.gateway.limit_windows import LONG_WINDOW_S, PROBE_S, LimitWindows


def _send_all(
    windows: LimitWindows, limit_per_s: float, seconds: float, gap_s: float
) -> list[float]:
    """Send as often as the limit allows; return the times."""
    sent, now = [], 0.0
    while now < seconds:
        if windows.next_at(limit_per_s, now) <= now:
            windows.record(now)
            sent.append(now)
        now += gap_s
    return sent


def _most(sent: list[float], window_s: float) -> int:
    return max(sum(end - window_s < at <= end for at in sent) for end in sent)


class TestLimitWindows:
    """Guards against counts that exceed a limit in some window, or that waste it."""

    @pytest.mark.parametrize("limit_per_s", [0.3, 0.5, 1.0, 4.7, 7.2, 60.0])
    def test_no_window_has_more_than_the_limit(self, limit_per_s: float) -> None:
        sent = _send_all(LimitWindows(), limit_per_s, 30.0, 0.003)
        assert _most(sent, LONG_WINDOW_S) <= max(1, limit_per_s * LONG_WINDOW_S)
        assert len(sent) >= 0.75 * limit_per_s * 30.0

    def test_an_upstream_that_takes_nothing_is_asked_now_and_then(self) -> None:
        """Guards against an upstream that can never tell that its limit has ended."""
        sent = _send_all(LimitWindows(), 0.0, 30.0, 0.05)
        assert 2 <= len(sent) <= 3
        assert sent[1] - sent[0] >= PROBE_S

    def test_requests_before_the_limit_count(self) -> None:
        windows = LimitWindows()
        for number in range(40):
            windows.record(-0.05 * number)
        assert windows.next_at(5.0, 0.0) == pytest.approx(-0.05 * 19 + LONG_WINDOW_S)

    def test_the_order_of_records_does_not_matter(self) -> None:
        times = [0.1 * number for number in range(30)]
        ordered, shuffled = LimitWindows(), LimitWindows()
        for at in times:
            ordered.record(at)
        random.Random(1).shuffle(times)
        for at in times:
            shuffled.record(at)
        assert ordered.next_at(3.0, 3.0) == shuffled.next_at(3.0, 3.0)
