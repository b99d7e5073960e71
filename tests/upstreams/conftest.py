"""Fixtures for the tests of the upstream clients."""

import socket
from collections.abc import Callable, Iterator

import pytest

from dragonflyhold.ids import UpstreamName
from dragonflyhold.settings import UpstreamSettings
from dragonflyhold.standins import EngineOptions, EngineStandIn, PlainServiceStandIn
from dragonflyhold.states import ServiceType
from tests.upstreams.raw_server import RawServer


def make_settings(url: str, read_timeout_s: float = 5.0) -> UpstreamSettings:
    return UpstreamSettings(
        name=UpstreamName("up-1"),
        type=ServiceType.ENGINE,
        url=url,
        # On a busy machine, a health check can take longer than the default timeout.
        connect_timeout_s=30.0,
        read_timeout_s=read_timeout_s,
    )


@pytest.fixture
def engine() -> Iterator[EngineStandIn]:
    stand_in = EngineStandIn(options=EngineOptions(tokens_per_s=1000.0, restart_s=0.0))
    stand_in.start()
    yield stand_in
    stand_in.stop()


@pytest.fixture
def plain_service() -> Iterator[PlainServiceStandIn]:
    stand_in = PlainServiceStandIn()
    stand_in.start()
    yield stand_in
    stand_in.stop()


@pytest.fixture
def raw_server() -> Iterator[Callable[..., RawServer]]:
    servers: list[RawServer] = []

    def start(response: bytes, *, hang: bool = False) -> RawServer:
        servers.append(RawServer(response, hang=hang))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


@pytest.fixture
def closed_url() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"http://127.0.0.1:{listener.getsockname()[1]}"
