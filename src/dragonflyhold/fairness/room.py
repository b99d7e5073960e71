"""Whether a request that waits behind others can be answered in time."""

# Time for which an adapter occupies a slot while others wait: its load and the requests after it.
SLOT_TURN_S = 0.65
# Time to load an adapter once a slot is free.
LOAD_S = 0.25
# Share of the time left that a request in excess may take up to its first byte where others queue;
# the rest is room for requests within the need of their accounts.
QUEUE_SHARE = 0.5


def expected_wait_s(backlog: int, slots: int) -> float:
    """Return the expected time until an adapter is loaded behind a backlog of other adapters."""
    return LOAD_S + SLOT_TURN_S * backlog / max(1, slots)


def is_out_of_room(backlog: int, slots: int, time_left_s: float) -> bool:
    """Return whether an adapter that is last in the backlog is loaded too late."""
    return expected_wait_s(backlog, slots) > time_left_s


def is_queue_too_long(load: float, slots: int, first_byte_s: float, time_left_s: float) -> bool:
    """Return whether an upstream's queue leaves no room for a request in excess.

    ``first_byte_s`` is the usual time to the first byte there; it grows late as a queue builds up.
    """
    queue_ratio = load / max(1, slots)
    return queue_ratio > 1.0 and first_byte_s * queue_ratio > QUEUE_SHARE * time_left_s
