"""Divides the sockets that a process may open between its clients and everything else."""

import dataclasses
from typing import final

# Share of the sockets for clients' connections. Each request may need one to an upstream as well,
# and links to agents, peers and the store need some at any time.
CLIENT_SHARE = 0.3
# The same for the platform's readiness checks, one of which is open at a time.
READINESS_SHARE = 0.04
MIN_READINESS_CONNECTIONS = 16


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorLimits:
    """Connections that a process accepts on each of its listeners, ``None`` for any number."""

    client_connections: int | None = None
    readiness_connections: int | None = None

    @classmethod
    def of_process(cls, sockets: int) -> "DescriptorLimits":
        """Return the limits of a process that may open a number of sockets."""
        return cls(
            max(1, int(CLIENT_SHARE * sockets)),
            max(MIN_READINESS_CONNECTIONS, int(READINESS_SHARE * sockets)),
        )
