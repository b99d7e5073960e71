"""The monotonic clock of the serving path."""

import time


def monotonic_now() -> float:
    """Return the monotonic time in seconds; looked up at each call, so that a model may set it."""
    return time.monotonic()
