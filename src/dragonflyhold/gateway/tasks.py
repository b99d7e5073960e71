"""Helpers for tasks of the event loop."""

import asyncio
from collections.abc import Awaitable, Callable

from dragonflyhold.gateway.logs import JsonLogger


def limit_time(seconds: float) -> asyncio.Timeout:
    """Return a context that raises ``TimeoutError`` after ``seconds``."""
    return asyncio.timeout(max(seconds, 0.0))


async def supervise(log: JsonLogger, name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a loop that must not end; an unexpected error is logged and the loop starts again."""
    while True:
        try:
            await run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.error("A task failed and starts again.", task=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)


# Pause before a failed loop starts again, so that a lasting fault does not use up the processor.
RESTART_DELAY_S = 0.2
