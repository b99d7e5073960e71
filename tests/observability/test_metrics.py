"""Tests of the metrics registry."""

from dragonflyhold.observability import Metrics


class TestMetrics:
    """Guards against counters that are not exposed or are shared between daemons."""

    def test_refusals_are_rendered_by_code(self) -> None:
        metrics = Metrics()
        metrics.count_refusal("queue_full")
        body, content_type = metrics.render()
        assert b'dragonflyhold_refusals_total{code="queue_full"} 1' in body
        assert content_type.startswith("text/plain")

    def test_daemons_do_not_share_counters(self) -> None:
        Metrics().count_refusal("queue_full")
        assert b"queue_full" not in Metrics().render()[0]
