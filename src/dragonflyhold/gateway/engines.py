"""What agents say of the engines beside them, and what they are told of requests that wait."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.agent_link import AgentLink
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.dispatch import RunnerTable, RunnerView
from dragonflyhold.gateway.link import keep_link
from dragonflyhold.gateway.logs import Part
from dragonflyhold.gateway.messages import (
    DemandUpdate,
    EngineUpdate,
    Message,
    Pulse,
    SuspectUpdate,
)
from dragonflyhold.gateway.model import ModelAdapter, Runner, RunnerId, RunnerState
from dragonflyhold.gateway.suspects import SuspectTable
from dragonflyhold.gateway.waiting import DemandBook
from dragonflyhold.ids import ServiceName, Version


@final
class EngineLinks:
    """The links of one gateway to the agents, one for each VM with an engine.

    Writes what agents tell into the table of runners, and sends them the demands.
    """

    def __init__(
        self,
        table: RunnerTable,
        catalogue: Catalogue,
        suspects: SuspectTable,
        agent_port: int,
        required_version: Callable[[ModelAdapter], Version],
        tell_lifetime: Callable[[Runner], None],
    ) -> None:
        self.demands = DemandBook(
            lambda key: catalogue.versions.get(key, Version(0)),
            self._send_demand,
            lambda call: asyncio.get_running_loop().call_soon(call),
        )
        self._table = table
        self._catalogue = catalogue
        self._suspects = suspects
        self._agent_port = agent_port
        self._required_version = required_version
        self._tell_lifetime = tell_lifetime
        self._log = Part("engines")
        self._agents: dict[str, AgentLink] = {}

    def has_engine(self, runner: Runner) -> bool:
        """Whether a runner is a model engine, with an agent beside it."""
        configuration = self._catalogue.configuration
        if configuration is None:
            return bool(runner.adapters)
        service = configuration.services.get(runner.service)
        return service is not None and service.engine is not None

    def is_starting(self, service: ServiceName) -> bool:
        """Whether engines of a service are about to be usable: no orders or no model yet."""
        return any(
            self.has_engine(view.runner)
            and not view.is_overtaken
            and not (view.can_load and view.has_model)
            for view in self._table.of_service(service)
        )

    def follow(self, runner: Runner) -> None:
        """Keep a link to the agent beside a runner for as long as its VM has one."""
        if not self.has_engine(runner):
            return
        if runner.ip in self._agents:
            self._mark_overtaken(self._agents[runner.ip])
            return
        agent = AgentLink(self, runner.ip)
        self._agents[runner.ip] = agent
        agent.task = asyncio.get_running_loop().create_task(
            keep_link(agent, runner.ip, self._agent_port, lambda: self._is_wanted(agent))
        )

    def tell_one(self, message: Message) -> None:
        """Send a message to one agent, which passes it on to the other gateways."""
        for agent in self._agents.values():
            if agent.link is not None:
                agent.link.send(message)
                return

    def heartbeat(self) -> None:
        """Tell each agent that this gateway is alive; run each heartbeat period."""
        for agent in self._agents.values():
            if agent.link is not None:
                agent.link.send(DemandUpdate([]))

    def close(self) -> None:
        """End all links."""
        for agent in self._agents.values():
            if agent.task is not None:
                agent.task.cancel()
            if agent.link is not None:
                agent.link.close()

    # Events of the links.

    def agent_joined(self, agent: AgentLink) -> None:
        """Send an agent the whole demand."""
        self._log.info("An agent is linked.", ip=agent.ip)
        view = self._current(agent)
        if agent.link is not None and view is not None:
            agent.link.send(self.demands.snapshot(view.runner.runner_id))

    def agent_lost(self, agent: AgentLink) -> None:
        """Let requests that wait there choose again."""
        self._log.warning("An agent is lost.", ip=agent.ip)
        for view in self._views_at(agent.ip):
            view.is_linked = False
            view.can_load = False
            self.demands.wake_runner(view.runner.runner_id)

    def agent_message(self, agent: AgentLink, message: Message) -> None:
        """Take in the state of an engine."""
        view = self._current(agent)
        if view is not None:
            self._table.agent_heard(view.runner.runner_id, time.monotonic())
        match message:
            case EngineUpdate():
                self._take_update(agent, message)
            case SuspectUpdate():
                self._suspects.apply(message)
            case Pulse():
                pass
            case DemandUpdate():
                self._log.warning("An agent sent a demand.", ip=agent.ip)

    def _take_update(self, agent: AgentLink, update: EngineUpdate) -> None:
        if update.born and update.born != agent.born:
            self._lifetime_changed(agent, update.born)
        view = self._current(agent)
        if view is None:
            return
        if update.born > view.runner.born and update.runner_id is not None:
            # The registry still has the entry of the lifetime before.
            self._tell_lifetime(
                dataclasses.replace(
                    view.runner,
                    runner_id=update.runner_id,
                    born=update.born,
                    state=RunnerState.READY,
                    adapters={},
                )
            )
            old, view = view, self._current(agent) or view
            if view is not old:
                self.demands.succeed(old.runner.runner_id, view.runner.runner_id)
        if update.born and update.born != view.runner.born:
            # The agent or the registry has not read the newest lifetime yet.
            return
        runner_id = view.runner.runner_id
        self._table.apply_update(runner_id, update, time.monotonic())
        waited = self.demands.waited_targets()
        for key, version in update.resident:
            if key in waited and version >= self._required_version(key):
                self.demands.wake_target(key)
        if not update.has_model or update.is_draining:
            self.demands.wake_runner(runner_id)

    def _lifetime_changed(self, agent: AgentLink, born: int) -> None:
        known = {view.runner.runner_id: view.runner.born for view in self._views_at(agent.ip)}
        self._log.info(
            "An engine has a new lifetime.",
            ip=agent.ip,
            born=born,
            before=agent.born,
            entries=known,
        )
        agent.born = born
        self._mark_overtaken(agent)

    def _mark_overtaken(self, agent: AgentLink) -> None:
        for view in self._views_at(agent.ip):
            view.is_overtaken = view.runner.born < agent.born
            if view.is_overtaken:
                self.demands.wake_runner(view.runner.runner_id)

    def _send_demand(self, runner_id: RunnerId, update: DemandUpdate) -> None:
        view = self._table.views.get(runner_id)
        if view is None:
            return
        agent = self._agents.get(view.runner.ip)
        if agent is not None and agent.link is not None and self._current(agent) is view:
            agent.link.send(update)

    def _current(self, agent: AgentLink) -> RunnerView | None:
        """Return the lifetime that an agent speaks of, else the newest one beside it."""
        views = self._views_at(agent.ip)
        told = [view for view in views if view.runner.born == agent.born]
        return max(told or views, key=lambda view: view.runner.born, default=None)

    def _views_at(self, ip: str) -> list[RunnerView]:
        return [view for view in self._table.views.values() if view.runner.ip == ip]

    def _is_wanted(self, agent: AgentLink) -> bool:
        if self._views_at(agent.ip):
            return True
        self._agents.pop(agent.ip, None)
        return False
