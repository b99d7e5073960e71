"""Decides which connection gives way when a listener has as many as it may keep.

Connections whose client owes something are kept in the order in which it began to, so that each
change and each decision takes constant time whatever the number of connections.
"""

import collections
import enum
import itertools
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar, final

Connection = TypeVar("Connection", bound=Hashable)

# Connections, those that have waited for longest, among which the one to close is chosen.
MAX_EXAMINED = 32
# Time within which a client that has a request sends it on a new connection or after a response.
REUSE_S = 0.5
# Time for which a client may leave what was written to it unread.
UNREAD_S = 1.0


class Standing(enum.Enum):
    """What a connection waits for; values appear in logs and metrics."""

    # The client: it is idle, has sent nothing yet, or only a part of a request.
    CLIENT = "client"
    # The client: it does not read what was written.
    READER = "reader"
    # This process, which serves requests of a client that has sent more than are taken at a time.
    TURN = "turn"
    # This process, which serves a request, or has one to serve. Such a connection never gives way.
    RESPONSE = "response"


# The order in which connections give way, with the least time that they have waited, in seconds.
PRECEDENCE = (
    (Standing.CLIENT, REUSE_S),
    (Standing.READER, UNREAD_S),
    (Standing.TURN, 0.0),
    (Standing.CLIENT, 0.0),
)


@final
class ConnectionTable(Generic[Connection]):
    """The connections of one listener, each with the address of its client."""

    def __init__(self, clock: Callable[[], float], most: int | None = None) -> None:
        self.most = most
        self._clock = clock
        self._addresses: dict[Connection, str] = {}
        self._held: collections.Counter[str] = collections.Counter()
        self._standings: dict[Connection, Standing] = {}
        # Time since which each connection has its standing, oldest first.
        self._since: dict[Standing, dict[Connection, float]] = {
            standing: {} for standing in Standing
        }

    def __len__(self) -> int:
        return len(self._addresses)

    @property
    def is_full(self) -> bool:
        """Whether a new connection needs another one to give way."""
        return self.most is not None and len(self) >= self.most

    def standing(self, connection: Connection) -> Standing:
        """Return what a connection waits for; a new one for its client."""
        return self._standings.get(connection, Standing.CLIENT)

    def add(self, connection: Connection, address: str) -> None:
        """Add a connection that has just been opened."""
        self._addresses[connection] = address
        self._held[address] += 1
        self.note(connection, Standing.CLIENT)

    def remove(self, connection: Connection) -> None:
        """Remove a connection, if it is known."""
        address = self._addresses.pop(connection, None)
        if address is None:
            return
        self._held[address] -= 1
        if not self._held[address]:
            del self._held[address]
        del self._since[self._standings.pop(connection)][connection]

    def note(self, connection: Connection, standing: Standing, *, restarts: bool = True) -> None:
        """Record what a known connection waits for.

        The time since then starts anew, unless the standing is the same and ``restarts`` is false.
        """
        if connection not in self._addresses:
            return
        old = self._standings.get(connection)
        if old is standing and not restarts:
            return
        if old is not None:
            del self._since[old][connection]
        self._standings[connection] = standing
        self._since[standing][connection] = self._clock()

    def pick_victim(self) -> Connection | None:
        """Return the connection that gives way to a new one, ``None`` if none should.

        Of those that have waited for longest, it is one of the client that holds most connections.
        """
        now = self._clock()
        for standing, least_s in PRECEDENCE:
            oldest = itertools.islice(self._since[standing].items(), MAX_EXAMINED)
            candidates = [connection for connection, since in oldest if now - since >= least_s]
            if candidates:
                return max(candidates, key=lambda item: self._held[self._addresses[item]])
        return None
