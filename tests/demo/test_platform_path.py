"""Test of the demo of the users' platform."""

import asyncio
import pathlib

from dragonflyhold.demo.platform_path import PlatformDemo


class TestPlatformDemo:
    """Guards against a demo whose steps fail or are skipped."""

    def test_every_step_is_reported(self, tmp_path: pathlib.Path) -> None:
        lines: list[str] = []
        asyncio.run(PlatformDemo(tmp_path / "demo", lines.append).run())
        assert [line.split()[0] for line in lines] == ["served", "resumed", "killed", "stopped"]
