"""Commands that load and unload adapters of an engine, run in worker threads."""

import dataclasses
from typing import final

from dragonflyhold.ids import AdapterKey, BootId, EngineAdapterName, Epoch
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.upstreams.interface import (
    EngineClient,
    StaleEpochError,
    UpstreamInterruptedError,
    UpstreamNotSentError,
    UpstreamStatusError,
)

_logger = ComponentLogger("sidecar")


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadFinished:
    """Message to the owner of the tables: a load command has ended."""

    index: int
    key: AdapterKey
    name: EngineAdapterName
    boot: BootId
    is_loaded: bool
    is_stale_epoch: bool
    message: str = ""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UnloadFinished:
    """Message to the owner of the tables: an unload command has ended.

    ``is_unloaded`` is true only if the engine acknowledged the command.
    """

    name: EngineAdapterName
    boot: BootId
    is_unloaded: bool
    is_stale_epoch: bool
    message: str = ""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadCommand:
    """Loads an adapter into a slot under a new name."""

    client: EngineClient
    index: int
    key: AdapterKey
    name: EngineAdapterName
    weights: str
    boot: BootId
    epoch: Epoch

    def run(self) -> LoadFinished:
        """Send the command and return its result."""
        try:
            self.client.load_adapter(self.name, self.weights, self.epoch)
        except (UpstreamNotSentError, UpstreamInterruptedError, UpstreamStatusError) as error:
            return self._finished(False, isinstance(error, StaleEpochError), str(error))
        except Exception as error:
            _logger.exception("Load command failed.", adapter=self.key)
            return self._finished(False, False, str(error))
        return self._finished(True, False)

    def _finished(self, is_loaded: bool, is_stale_epoch: bool, message: str = "") -> LoadFinished:
        return LoadFinished(
            self.index, self.key, self.name, self.boot, is_loaded, is_stale_epoch, message
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UnloadCommand:
    """Unloads the adapter that the engine holds under a name."""

    client: EngineClient
    name: EngineAdapterName
    boot: BootId
    epoch: Epoch

    def run(self) -> UnloadFinished:
        """Send the command and return its result."""
        try:
            self.client.unload_adapter(self.name, self.epoch)
        except (UpstreamNotSentError, UpstreamInterruptedError, UpstreamStatusError) as error:
            is_stale_epoch = isinstance(error, StaleEpochError)
            return UnloadFinished(self.name, self.boot, False, is_stale_epoch, str(error))
        except Exception as error:
            _logger.exception("Unload command failed.", name=self.name)
            return UnloadFinished(self.name, self.boot, False, False, str(error))
        return UnloadFinished(self.name, self.boot, True, False)
