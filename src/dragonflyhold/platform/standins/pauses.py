"""Pauses of the runs of a stand-in: all stand still, or the newest ones were preempted."""

import asyncio
import dataclasses
import math
from typing import final


@final
@dataclasses.dataclass(eq=False, slots=True)
class Pause:
    """Time in which runs stand still, in seconds of the loop's clock; open until ``finish``."""

    begins_at: float
    ends_at: float = math.inf
    # Whether runs stop in the middle of their next event, and not before it.
    is_inside_event: bool = False
    # Whether the upstream answers nothing else either.
    is_of_all: bool = False
    _ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def is_open(self) -> bool:
        """Whether the pause has not ended."""
        return not self._ended.is_set()

    def finish(self) -> None:
        """End the pause."""
        if self.is_open:
            self.ends_at = asyncio.get_running_loop().time()
            self._ended.set()

    async def wait(self) -> None:
        """Wait for the end of the pause."""
        await self._ended.wait()


@final
@dataclasses.dataclass(eq=False, slots=True)
class RunTimeline:
    """What an upstream made of a request that it accepted; times are those of the loop's clock."""

    request_id: str
    accepted_at: float
    # Whether a fault breaks the run off, withholds its answer or spoils it.
    is_faulty: bool
    # Time of the first byte that the run wrote, and of the head if that begins a sound answer.
    begun_at: float | None = None
    head_at: float | None = None
    ended_at: float = math.inf
    is_whole: bool = False
    pauses: list[Pause] = dataclasses.field(default_factory=list)

    @property
    def is_active(self) -> bool:
        """Whether the run goes on."""
        return math.isinf(self.ended_at)

    @property
    def open_pause(self) -> Pause | None:
        """Return a pause that lasts, if any."""
        return next((pause for pause in self.pauses if pause.is_open), None)

    async def wait(self) -> None:
        """Wait until no pause lasts."""
        while (pause := self.open_pause) is not None:
            await pause.wait()

    def note_begun(self, *, has_head: bool) -> None:
        """Record the first byte of the run, and whether it begins a head that may be relayed."""
        now = asyncio.get_running_loop().time()
        self.begun_at = now if self.begun_at is None else self.begun_at
        if has_head and self.head_at is None:
            self.head_at = now
