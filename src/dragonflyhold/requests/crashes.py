"""What daemons know about requests that crash their upstreams."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol, final

from dragonflyhold.ids import Fingerprint


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes that a request fingerprint is suspected of, or was confirmed to cause."""

    fingerprint: Fingerprint
    crashes: int
    quarantined: bool


class CrashExchange(Protocol):
    """Reports that are spread with the configuration exchange; safe from any thread."""

    def reports(self) -> Sequence[CrashReport]:
        """Return the latest reports to pass on, at most 32."""

    def merge(self, reports: Sequence[CrashReport]) -> None:
        """Learn reports of a peer."""
