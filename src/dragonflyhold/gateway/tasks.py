"""Helpers for asyncio tasks."""

import asyncio
from collections.abc import Awaitable, Callable

from dragonflyhold.gateway.logs import JsonLogger


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
            log.error("A background task failed and will restart.", task=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)


# Delay before a loop restarts, so that a persistent error does not cause a busy loop.
RESTART_DELAY_S = 0.2
