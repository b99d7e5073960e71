"""A server that sends raw bytes, for responses that a correct server would never send."""

import re
import socket
import threading


class RawServer:
    """Answers one request per connection with ``response`` and closes the connection.

    With ``hang``, connections stay open until the server is closed.
    """

    def __init__(self, response: bytes, *, hang: bool = False) -> None:
        self._response = response
        self._hang = hang
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open_connections: list[socket.socket] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        """Close the listener and all connections."""
        # Unblocks ``accept`` in the server thread.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()
        for connection in self._open_connections:
            connection.close()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            _read_request(connection)
            connection.sendall(self._response)
            if self._hang:
                self._open_connections.append(connection)
            else:
                connection.close()


def _read_request(connection: socket.socket) -> None:
    # The request must be read to its end: closing a connection with unread data resets it, and the
    # client may then lose a response that was already sent.
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(connection)
    headers, _, body = data.partition(b"\r\n\r\n")
    match = re.search(rb"(?i)content-length: (\d+)", headers)
    length = int(match[1]) if match else 0
    while len(body) < length:
        body += _receive(connection)


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(65_536)
    if not data:
        raise AssertionError("the client closed the connection before the end of its request")
    return data
