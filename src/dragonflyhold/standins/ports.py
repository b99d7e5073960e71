"""Draws the ports on which processes of a demo or a test will listen."""

import os
import random
import socket

from dragonflyhold.errors import DragonflyholdError

# Below Linux's default range of ephemeral ports, so that no outgoing connection takes a port before
# the process that is to listen on it has started.
PORT_RANGE = range(15_000, 32_000)
PORT_ATTEMPTS = 200
# Ports that this process has drawn and that may not be in use yet.
_drawn: set[int] = set()
_rng = random.Random(f"{os.getpid()}.{os.urandom(8).hex()}")


class NoFreePortError(DragonflyholdError):
    """All ports that were tried are in use."""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a TCP port that is not in use and that this process has not drawn before."""
    for _ in range(PORT_ATTEMPTS):
        port = _rng.choice(PORT_RANGE)
        if port in _drawn:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _drawn.add(port)
        return port
    raise NoFreePortError(f"no free port was found on {host} in {PORT_ATTEMPTS} attempts")


def free_address() -> str:
    """Return a loopback ``host:port`` with a free port."""
    return f"127.0.0.1:{free_port()}"
