"""Whether a request that waits behind others for an adapter slot can be answered in time."""

# Time for which an adapter occupies a slot while others wait: its load and the requests after it.
SLOT_TURN_S = 0.65
# Time to load an adapter once a slot is free.
LOAD_S = 0.25


def expected_wait_s(backlog: int, slots: int) -> float:
    """Return the expected time until an adapter is loaded behind a backlog of other adapters."""
    return LOAD_S + SLOT_TURN_S * backlog / max(1, slots)


def is_out_of_room(backlog: int, slots: int, time_left_s: float) -> bool:
    """Return whether an adapter that is last in the backlog is loaded too late."""
    return expected_wait_s(backlog, slots) > time_left_s
