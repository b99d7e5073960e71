"""Creates gRPC servers and channels with common options."""

import concurrent.futures
import pathlib
from typing import final

import grpc

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.settings import TlsSettings

MAX_MESSAGE_BYTES = 64 * 1024 * 1024

_COMMON_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
]
# With SO_REUSEPORT, a second process could bind the port of a suspended one.
_SERVER_OPTIONS = [*_COMMON_OPTIONS, ("grpc.so_reuseport", 0)]
# Each channel has its own connection, so that a probe does not use an unresponsive one.
_CHANNEL_OPTIONS = [
    *_COMMON_OPTIONS,
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
]


@final
class AddressInUseError(DragonflyholdError):
    """Another process listens on the address."""

    def __init__(self, address: str) -> None:
        super().__init__(f"another process listens on {address}")


def make_server(max_workers: int) -> grpc.Server:
    """Return an unbound server; each open stream occupies one worker thread."""
    pool = concurrent.futures.ThreadPoolExecutor(max_workers, thread_name_prefix="grpc")
    return grpc.server(pool, options=_SERVER_OPTIONS)


def bind_server(server: grpc.Server, address: str, tls: TlsSettings) -> int:
    """Bind the server to ``address``; return the port; raise ``AddressInUseError``."""
    try:
        if tls.is_enabled:
            port = server.add_secure_port(address, _server_credentials(tls))
        else:
            port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise AddressInUseError(address) from error
    if port == 0:
        raise AddressInUseError(address)
    return port


def make_channel(address: str, tls: TlsSettings) -> grpc.Channel:
    """Return a channel that shares its connection with no other channel."""
    if not tls.is_enabled:
        return grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
    return grpc.secure_channel(address, _channel_credentials(tls), options=_CHANNEL_OPTIONS)


def peer_names(context: grpc.ServicerContext) -> list[str]:
    """Return the common and alternative names in the client's certificate; empty without TLS."""
    auth = context.auth_context()
    names = [*auth.get("x509_common_name", ()), *auth.get("x509_subject_alternative_name", ())]
    return [name.decode("utf-8", "replace") for name in names]


def _server_credentials(tls: TlsSettings) -> grpc.ServerCredentials:
    pair = (_read(tls.key), _read(tls.certificate))
    return grpc.ssl_server_credentials([pair], _read(tls.authority), require_client_auth=True)


def _channel_credentials(tls: TlsSettings) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(
        _read(tls.authority), _read(tls.key), _read(tls.certificate)
    )


def _read(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
