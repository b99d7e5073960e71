"""Whether there is room for the requests of an account that asks for more than usual."""

from dragonflyhold.fairness.need import Standing

# Time for which an adapter occupies a slot while others wait: its load and the requests after it.
SLOT_TURN_S = 0.65
# Time to load an adapter once a slot is free.
LOAD_S = 0.25
# Load of the least loaded upstream, relative to its slots, beyond which such requests give way. In
# a short queue requests are still in time.
FULL_RATIOS = {Standing.RAISED: 2.0, Standing.EXCESS: 1.0}


def expected_wait_s(backlog: int, slots: int) -> float:
    """Return the expected time until an adapter is loaded behind a backlog of other adapters."""
    return LOAD_S + SLOT_TURN_S * backlog / max(1, slots)


def is_out_of_room(backlog: int, slots: int, time_left_s: float) -> bool:
    """Return whether an adapter that is last in the backlog is loaded too late."""
    return expected_wait_s(backlog, slots) > time_left_s


def is_full_for(standing: Standing, load: float, slots: int) -> bool:
    """Return whether a request gives way to others at the least loaded upstream."""
    ratio = FULL_RATIOS.get(standing)
    return ratio is not None and load > ratio * slots
