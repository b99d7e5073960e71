"""The actor that owns the tables."""

import time
from typing import final

import pykka

from dragonflyhold.observability import ComponentLogger
from dragonflyhold.sidecar.core import SidecarCore

# While messages keep coming, the systems still run this often.
MAX_STEP_INTERVAL_S = 0.01

_logger = ComponentLogger("sidecar")


@final
class SidecarActor(pykka.ThreadingActor):
    """Passes messages to the core one by one and steps it when none waits."""

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
            # Raising would stop the actor, and with it every request. Calls see ``None``.
            _logger.exception("Message failed.", message=type(message).__name__)
            return None
        finally:
            self._step_if_due()

    def on_failure(self, *args: object) -> None:
        """Log the end of the actor."""
        _logger.error("Actor has failed.")

    def _step_if_due(self) -> None:
        now = time.monotonic()
        if not self.actor_inbox.empty() and now - self._last_step < MAX_STEP_INTERVAL_S:
            return
        self._last_step = now
        try:
            self._core.step()
        except Exception:
            _logger.exception("Step failed.")
