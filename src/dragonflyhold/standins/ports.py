"""Draws the ports on which processes of a demo or a test will listen."""

import collections
import os
import random
import socket

from dragonflyhold.errors import DragonflyholdError

# Below Linux's default range of ephemeral ports, so that no outgoing connection takes a port before
# the process that is to listen on it has started.
PORT_RANGE = range(15_000, 32_000)
PORT_ATTEMPTS = 200
# Ports that this process has drawn.
_drawn: set[int] = set()
# Sockets that claim the last of them, so that no other process draws one before it is in use.
MAX_CLAIMS = 200
_claims: collections.deque[socket.socket] = collections.deque()
_rng = random.Random(f"{os.getpid()}.{os.urandom(8).hex()}")


class NoFreePortError(DragonflyholdError):
    """All ports that were tried are in use."""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a TCP port that is not in use and that no process has drawn for this host."""
    for _ in range(PORT_ATTEMPTS):
        port = _rng.choice(PORT_RANGE)
        if port in _drawn or not _claim(host, port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _drawn.add(port)
        return port
    raise NoFreePortError(f"no free port was found on {host} in {PORT_ATTEMPTS} attempts")


def bind_claim(host: str, port: int) -> socket.socket | None:
    """Return a socket that claims an address while it is open, ``None`` if another one does.

    The UDP port is bound, so that the TCP port stays free for the process that will listen there.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        return None
    return sock


def _claim(host: str, port: int) -> bool:
    sock = bind_claim(host, port)
    if sock is None:
        return False
    _claims.append(sock)
    if len(_claims) > MAX_CLAIMS:
        _claims.popleft().close()
    return True


def free_address() -> str:
    """Return a loopback ``host:port`` with a free port."""
    return f"127.0.0.1:{free_port()}"
