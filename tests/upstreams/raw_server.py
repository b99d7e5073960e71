"""A server that sends prepared bytes, for answers that a correct server never gives."""

import re
import socket
import threading


class RawServer:
    """Answers each connection with ``answer`` once a request came, then closes or stays silent."""

    def __init__(self, answer: bytes, *, hang: bool = False) -> None:
        self._answer = answer
        self._hang = hang
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open: list[socket.socket] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        """Close the listener and all connections."""
        # Wakes the thread up from ``accept``.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()
        for connection in self._open:
            connection.close()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            _read_request(connection)
            connection.sendall(self._answer)
            if self._hang:
                self._open.append(connection)
            else:
                connection.close()


def _read_request(connection: socket.socket) -> None:
    # To the end, because a connection that is closed with unread data is reset, and the client
    # may then lose an answer that was sent.
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(connection)
    head, _, body = data.partition(b"\r\n\r\n")
    found = re.search(rb"(?i)content-length: (\d+)", head)
    length = int(found[1]) if found else 0
    while len(body) < length:
        body += _receive(connection)


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(65_536)
    if not data:
        raise AssertionError("the client closed the connection before the end of its request")
    return data
