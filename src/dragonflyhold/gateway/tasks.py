"""Helpers for asyncio tasks."""

import asyncio
from collections.abc import Awaitable, Callable

from dragonflyhold.gateway.logs import JsonLogger, describe


def limit_time(seconds: float) -> asyncio.Timeout:
    """Return a context manager that raises ``TimeoutError`` after ``seconds``."""
    return asyncio.timeout(max(seconds, 0.0))


async def supervise(log: JsonLogger, name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a background loop forever; log an unexpected error and restart the loop."""
    while True:
        try:
            await run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.error(
                "A background task failed and will restart.", task=name, error=describe(error)
            )
        await asyncio.sleep(RESTART_DELAY_S)


async def run_until_done(log: JsonLogger, name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task that ends; log an unexpected error and start it again."""
    while True:
        try:
            await run()
            return
        except Exception as error:
            log.error(
                "A background task failed and will restart.", task=name, error=describe(error)
            )
        await asyncio.sleep(RESTART_DELAY_S)


# Delay before a loop restarts, so that a persistent error does not cause a busy loop.
RESTART_DELAY_S = 0.2
