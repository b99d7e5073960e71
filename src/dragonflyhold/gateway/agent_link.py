"""Gateway side of the link to an agent."""

import asyncio
from typing import Protocol, final

from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.messages import EngineUpdate, Message
from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.hashing import hash64


class AgentEvents(Protocol):
    """Receives the events of the links to agents."""

    def agent_connected(self, agent: "AgentLink") -> None:
        """Handle a new link."""

    def agent_message(self, agent: "AgentLink", message: Message) -> None:
        """Handle a received message."""

    def agent_disconnected(self, agent: "AgentLink", was_silent: bool) -> None:
        """Handle a closed link; ``was_silent`` tells whether nothing came from the agent."""


@final
class AgentLink:
    """Link to the agent on one VM, and the incarnation of the engine there."""

    def __init__(self, events: AgentEvents, ip: str) -> None:
        self.ip = ip
        self.ip_hash = hash64(ip.encode())
        # Start time of the engine's incarnation as last reported by the agent, initially 0.
        self.start_time_ms = 0
        # The incarnation whose demand was sent to the agent last.
        self.demands_of: UpstreamId | None = None
        # The agent's last report, also on an incarnation whose entry is not read yet.
        self.last_update: EngineUpdate | None = None
        # Protocol version that the agent last announced.
        self.protocol = 1
        self.link: Link | None = None
        self.task: asyncio.Task[None] | None = None
        self._events = events

    def link_opened(self, link: Link) -> None:
        """Store the link and notify the owner."""
        self.link = link
        self._events.agent_connected(self)

    def link_message(self, link: Link, message: Message) -> None:
        """Forward a message to the owner."""
        del link
        self._events.agent_message(self, message)

    def link_closed(self, link: Link) -> None:
        """Clear the link and notify the owner, unless it was already replaced."""
        if self.link is link:
            self.link = None
            self._events.agent_disconnected(self, link.was_silent)
