"""Tests of the virtual clock."""

import asyncio
import contextlib
import time

from dragonflyhold.bench.virtual_time import run_virtual

START_S = 8.7
END_S = START_S + 1e-10


class TestVirtualLoop:
    """Guards against runs that never end because the clock stands still."""

    def test_tasks_that_wait_for_a_time_get_there(self) -> None:
        """Guards against timers that fire too early while other tasks are ready."""

        async def wait(phase: int) -> int:
            await asyncio.sleep(START_S)
            for _ in range(phase):
                await asyncio.sleep(0)
            rounds = 0
            while (left_s := END_S - time.monotonic()) > 0 and rounds < 1000:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await asyncio.Event().wait()
                rounds += 1
            return rounds

        async def scenario() -> list[int]:
            return await asyncio.gather(*map(wait, range(4)))

        assert max(run_virtual(scenario())) < 10
