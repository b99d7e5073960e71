"""Operators of an experiment: they race to replace adapter versions and watch the revisions."""

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

CHANGE_PERIOD_S = 3.0


@final
@dataclasses.dataclass(slots=True)
class VersionTable:
    """Versions of the adapters that operators change, as far as replies tell."""

    # Per (service, adapter): the version to ask for now.
    current: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    changes: list[VersionChange] = dataclasses.field(default_factory=list)


@final
class OperatorThreads:
    """Each operator owns some adapters and replaces their versions one by one."""

    def __init__(
        self, addresses: Sequence[str], adapters: Sequence[tuple[str, str]], seed: int
    ) -> None:
        self.book = VersionTable(dict.fromkeys(adapters, 1))
        self.refused = 0
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
        """Start making changes."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop; changes in progress are completed."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, address: str, adapters: Sequence[tuple[str, str]], rng: random.Random) -> None:
        client = OperatorClient(address)
        for service, adapter in itertools.cycle(adapters):
            if self._stopping.wait(rng.uniform(0.5, 1.5) * CHANGE_PERIOD_S):
                break
            old = self.book.current[service, adapter]
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
                self.book.changes.append(change)
                if accepted_at is None:
                    # Its fate is not known, so this adapter is left as it is from now on.
                    self.refused += 1
                    break
                self.book.current[service, adapter] = old + 1
        client.close()
