"""Connections between gateways and agents: msgpack messages over TCP, with heartbeats."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol, final

import msgpack

from dragonflyhold.gateway.connection_pool import CONNECT_TIMEOUT_S
from dragonflyhold.gateway.http_client import set_dead_peer_detection
from dragonflyhold.gateway.logs import JsonLogger, describe
from dragonflyhold.gateway.messages import MAX_FRAME_BYTES, Message, MessageError, decode, encode

# Each side sends at least once per period and closes the link if nothing arrives for the timeout.
HEARTBEAT_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.6
# Delay before reconnecting, with jitter: after a restart of all VMs an agent may start slightly
# later than the gateways.
RECONNECT_S = 0.1
# A link with more unsent bytes is closed, as its peer does not read.
MAX_UNSENT_BYTES = 512 * 1024


class LinkOwner(Protocol):
    """Receives the events of a link."""

    def link_opened(self, link: "Link") -> None:
        """Handle a new link."""

    def link_message(self, link: "Link", message: Message) -> None:
        """Handle a received message."""

    def link_closed(self, link: "Link") -> None:
        """Handle a closed link."""


@final
class Link(asyncio.Protocol):
    """A connection between a gateway and an agent."""

    def __init__(self, owner: LinkOwner) -> None:
        self.last_received_at = time.monotonic()
        self.last_sent_at = self.last_received_at
        self.peer = ""
        self.closed = asyncio.Event()
        # Whether the link was given up because nothing came, not closed by the peer.
        self.was_silent = False
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._log = JsonLogger("link")
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify the owner of the new link."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_detection(transport.get_extra_info("socket"))
        self.peer = str((transport.get_extra_info("peername") or ("",))[0])
        self._owner.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Handle received messages; close the link if they can't be told apart."""
        self.last_received_at = time.monotonic()
        try:
            self._unpacker.feed(data)
            for fields in self._unpacker:
                self._handle(fields)
        except (ValueError, msgpack.UnpackException) as error:
            self._log.warning(
                "A peer sent invalid data; the link is closed.",
                peer=self.peer,
                error=describe(error),
            )
            self.close()

    def _handle(self, fields: object) -> None:
        """Handle one message; an odd one ends neither the link nor the ones after it."""
        try:
            self._owner.link_message(self, decode(fields))
        except MessageError as error:
            self._log.warning("An invalid message was ignored.", peer=self.peer, error=str(error))
        except Exception as error:
            self._log.error(
                "A message could not be handled.", peer=self.peer, error=describe(error)
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner of the closed link."""
        self.was_silent = self.was_silent or isinstance(exc, TimeoutError)
        self._transport = None
        self.closed.set()
        self._owner.link_closed(self)

    def send(self, message: Message) -> None:
        """Send a message; close the link if the peer does not read."""
        self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded message, which several links may share."""
        if self._transport is None or self._transport.is_closing():
            return
        self.last_sent_at = time.monotonic()
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()

    def close(self) -> None:
        """Close the link without flushing unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def is_heartbeat_overdue(self, now: float) -> bool:
        """Whether nothing was received within the heartbeat timeout."""
        return now - self.last_received_at > HEARTBEAT_TIMEOUT_S


async def maintain_link(
    owner: LinkOwner, host: str, port: int, should_keep: Callable[[], bool]
) -> None:
    """Maintain a link to an agent, reconnecting as needed, while ``should_keep`` returns true."""
    loop = asyncio.get_running_loop()
    while should_keep():
        link: Link | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(lambda: Link(owner), host, port)
        except (OSError, ValueError, OverflowError, TimeoutError):
            # The agent may not have started yet; the owner handles the missing link.
            pass
        if link is not None:
            await _monitor_link(link, should_keep)
        await asyncio.sleep(RECONNECT_S * random.uniform(0.5, 1.5))


async def _monitor_link(link: Link, should_keep: Callable[[], bool]) -> None:
    try:
        while not link.closed.is_set():
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await link.closed.wait()
            except TimeoutError:
                link.was_silent = link.is_heartbeat_overdue(time.monotonic())
                if link.was_silent or not should_keep():
                    return
    finally:
        link.close()
