"""Tests for the capacity measurements."""

import pytest

from dragonflyhold.bench import capacity, capacity_roles


class TestSeries:
    """Guards against slopes that include the fixed cost."""

    def test_slope_excludes_fixed_cost(self) -> None:
        series = capacity.Series("x", "bytes", "row", ((10, 150.0), (20, 250.0), (30, 350.0)))
        assert series.slope == pytest.approx(10.0)

    def test_single_point_has_no_slope(self) -> None:
        series = capacity.Series("x", "MB", "", ((1, 40.0),))
        assert capacity.to_json([series])[0]["slope"] is None
        assert "per" not in capacity.format_series([series])


@pytest.fixture(scope="module")
def rows() -> list[capacity.Series]:
    return capacity.measure_rows()


class TestMemory:
    """Guards against rows and messages that exceed the memory or traffic budget of a daemon.

    Unlike times, sizes do not depend on the load of the machine, so they can have fixed limits.
    """

    @pytest.mark.parametrize(
        ("name", "limit_bytes"),
        [
            ("popularity", 300),
            ("upstream table", 4000),
            ("rankings", 400),
            ("in-flight table", 800),
            ("slot table", 500),
            ("broker", 400),
        ],
    )
    def test_bytes_per_row(
        self, rows: list[capacity.Series], name: str, limit_bytes: float
    ) -> None:
        series = next(item for item in rows if name in item.name)
        assert 0 < series.slope < limit_bytes

    def test_heartbeat_fits_traffic_budget(self) -> None:
        # The budget is 7 KB/s per daemon, for a heartbeat each second on each of 64 channels.
        heartbeats = capacity.measure_heartbeats()
        assert dict(heartbeats.points)[0] < 110


class TestRoles:
    """Guards against role figures that are calculated from the wrong size."""

    def test_interpolates_between_sizes(self) -> None:
        series = capacity.Series("cold adapter", "us", "upstream", ((5, 10.0), (50, 100.0)))
        values = capacity_roles._SeriesValues([series])
        assert values.interpolate("cold adapter", 50) == pytest.approx(100.0)
        assert values.interpolate("cold adapter", 27.5) == pytest.approx(55.0)
        assert values.interpolate("cold adapter", 100) == pytest.approx(200.0)

    def test_share_of_the_budget(self) -> None:
        figure = capacity_roles.RoleFigure("entry", "memory", 32.0, 64.0, "MB")
        assert "50.0%" in capacity_roles.format_roles([figure])
