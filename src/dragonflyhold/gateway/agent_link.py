"""A gateway's end of the link to one agent."""

import asyncio
from typing import Protocol, final

from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.messages import Message


class AgentEvents(Protocol):
    """Receives what happens on the links to agents."""

    def agent_connected(self, agent: "AgentLink") -> None:
        """Handle a new link."""

    def agent_message(self, agent: "AgentLink", message: Message) -> None:
        """Handle one message."""

    def agent_disconnected(self, agent: "AgentLink") -> None:
        """Handle the loss of a link."""


@final
class AgentLink:
    """Ties the link to one VM's agent to the runner beside it."""

    def __init__(self, events: AgentEvents, ip: str) -> None:
        self.ip = ip
        # Start of the engine's lifetime that the agent told last, 0 before.
        self.start_time_ms = 0
        self.link: Link | None = None
        self.task: asyncio.Task[None] | None = None
        self._events = events

    def link_opened(self, link: Link) -> None:
        """Send the whole demand."""
        self.link = link
        self._events.agent_connected(self)

    def link_message(self, link: Link, message: Message) -> None:
        """Pass a message on."""
        del link
        self._events.agent_message(self, message)

    def link_closed(self, link: Link) -> None:
        """Note the loss."""
        if self.link is link:
            self.link = None
            self._events.agent_disconnected(self)
