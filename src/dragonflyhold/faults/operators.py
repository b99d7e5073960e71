"""Operators of an experiment, which concurrently replace adapter versions."""

import contextlib
import dataclasses
import itertools
import random
import threading
import time
from collections.abc import Sequence
from typing import final

import grpc

from dragonflyhold.demo.operations import OperatorClient, delete_version, put_version
from dragonflyhold.demo.processes import DeploymentError
from dragonflyhold.faults.oracle import VersionChange

MEAN_CHANGE_PERIOD_S = 3.0


@final
@dataclasses.dataclass(slots=True)
class VersionTable:
    """Versions of the adapters that operators change, according to the replies received."""

    # Per (service, adapter): the version that requests should name.
    current: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    changes: list[VersionChange] = dataclasses.field(default_factory=list)


@final
class OperatorThreads:
    """Runs operators that each replace the versions of their own adapters one by one."""

    def __init__(
        self, addresses: Sequence[str], adapters: Sequence[tuple[str, str]], seed: int
    ) -> None:
        self.version_table = VersionTable(dict.fromkeys(adapters, 1))
        self.failed_changes = 0
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        shares = [adapters[index :: len(addresses)] for index in range(len(addresses))]
        self._threads = [
            threading.Thread(
                target=self._run, args=(address, share, random.Random(f"{seed}.{address}"))
            )
            for address, share in zip(addresses, shares, strict=True)
            if share
        ]

    def start(self) -> None:
        """Start all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the changes in progress have completed."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, address: str, adapters: Sequence[tuple[str, str]], rng: random.Random) -> None:
        client = OperatorClient(address)
        for service, adapter in itertools.cycle(adapters):
            if self._stopping.wait(rng.uniform(0.5, 1.5) * MEAN_CHANGE_PERIOD_S):
                break
            old = self.version_table.current[service, adapter]
            operations = [
                put_version(service, adapter, old + 1),
                delete_version(service, adapter, old),
            ]
            submitted_at = time.time()
            accepted_at: float | None = None
            with contextlib.suppress(DeploymentError, grpc.RpcError):
                client.apply(operations)
                accepted_at = time.time()
            with self._lock:
                change = VersionChange(service, adapter, old, old + 1, submitted_at, accepted_at)
                self.version_table.changes.append(change)
                if accepted_at is None:
                    # The outcome is not known, so this operator makes no further changes.
                    self.failed_changes += 1
                    break
                self.version_table.current[service, adapter] = old + 1
        client.close()
