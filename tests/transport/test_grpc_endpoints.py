"""Tests of gRPC servers and channels."""

import pytest

from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import AddressInUseError, bind_server, make_server


class TestBindServer:
    """Guards against two sidecars on one port, which would both send commands to one engine."""

    def test_second_server_cannot_share_the_port(self) -> None:
        first = make_server(1)
        port = bind_server(first, "127.0.0.1:0", TlsSettings())
        first.start()
        second = make_server(1)
        try:
            with pytest.raises(AddressInUseError):
                bind_server(second, f"127.0.0.1:{port}", TlsSettings())
        finally:
            second.stop(None).wait()
            first.stop(None).wait()

    def test_port_is_free_after_stop(self) -> None:
        first = make_server(1)
        port = bind_server(first, "127.0.0.1:0", TlsSettings())
        first.start()
        first.stop(None).wait()
        second = make_server(1)
        try:
            assert bind_server(second, f"127.0.0.1:{port}", TlsSettings()) == port
        finally:
            second.stop(None).wait()
