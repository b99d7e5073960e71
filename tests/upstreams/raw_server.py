"""A server that sends prepared bytes, for answers that a correct server never gives."""

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
            connection.recv(65_536)
            connection.sendall(self._answer)
            if self._hang:
                self._open.append(connection)
            else:
                connection.close()
