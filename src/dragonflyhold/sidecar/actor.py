"""Actor whose thread owns the tables of a sidecar."""

import time
from typing import final

import pykka

from dragonflyhold.observability import ComponentLogger
from dragonflyhold.sidecar.core import SidecarCore

# Maximum time between two steps of the core while the inbox does not become empty.
MAX_STEP_INTERVAL_S = 0.01

_logger = ComponentLogger("sidecar")


@final
class SidecarActor(pykka.ThreadingActor):
    """Passes messages to the core one at a time, and steps the core when the inbox is empty."""

    use_daemon_thread = True

    def __init__(self, core: SidecarCore) -> None:
        super().__init__()
        self._core = core
        self._last_step = 0.0

    def on_receive(self, message: object) -> object:
        """Process one message."""
        try:
            return self._core.handle(message)
        except Exception:
            # An exception raised here would stop the actor, and with it every request. A failed
            # call returns ``None``.
            _logger.exception("Failed to process a message.", message=type(message).__name__)
            return None
        finally:
            self._step_if_due()

    def on_failure(self, *args: object) -> None:
        """Log that the actor has stopped."""
        _logger.error("Actor stopped after a failure; the sidecar no longer processes messages.")

    def _step_if_due(self) -> None:
        now = time.monotonic()
        if not self.actor_inbox.empty() and now - self._last_step < MAX_STEP_INTERVAL_S:
            return
        self._last_step = now
        try:
            self._core.step()
        except Exception:
            _logger.exception("Step of the sidecar core failed.")
