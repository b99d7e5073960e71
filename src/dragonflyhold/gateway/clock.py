"""The monotonic clock of the serving path."""

import time


def monotonic_now() -> float:
    """Return the monotonic time in seconds.

    Looks ``time.monotonic`` up on each call, so that a simulation can replace it.
    """
    return time.monotonic()
