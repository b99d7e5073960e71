"""Tests of whether there is room for requests in excess."""

import pytest

from dragonflyhold.fairness import is_queue_too_long


class TestQueueAtAnUpstream:
    """Guards against refusals of requests that would be answered in time."""

    @pytest.mark.parametrize(
        ("load", "first_byte_s", "time_left_s", "is_too_long"),
        [
            (6, 0.3, 0.3, False),
            (7, 0.07, 0.34, False),
            (24, 0.07, 0.34, True),
            (7, 0.2, 0.34, True),
            (7, 0.07, 0.0, True),
        ],
        ids=["no queue", "short queue", "long queue", "slow upstream", "late already"],
    )
    def test_a_queue_is_too_long_only_if_answers_would_be_late(
        self, load: int, first_byte_s: float, time_left_s: float, is_too_long: bool
    ) -> None:
        assert is_queue_too_long(load, 6, first_byte_s, time_left_s) == is_too_long

    def test_an_upstream_without_slots_is_no_error(self) -> None:
        assert not is_queue_too_long(0, 0, 0.05, 1.0)
