"""Exchange with agents: engine state from each agent, adapter demand to each agent."""

import asyncio
import dataclasses
import heapq
import random
import time
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.balancing import SharedLoads
from dragonflyhold.fairness import AccountNeed
from dragonflyhold.gateway.account_limits import AccountLimits
from dragonflyhold.gateway.agent_link import AgentLink
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.crash_batch import CrashBatch
from dragonflyhold.gateway.crash_evidence import CrashEvidence, CrashRecord
from dragonflyhold.gateway.dispatch import UpstreamTable
from dragonflyhold.gateway.gateway_count import GatewayCount
from dragonflyhold.gateway.link import HEARTBEAT_S, Link, maintain_link
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.messages import (
    CRASH_PROTOCOL,
    LIMIT_PROTOCOL,
    NO_CHANGE,
    ORIGIN_PROTOCOL,
    TOKEN_PROTOCOL,
    AgentHeartbeat,
    CrashDigest,
    CrashUpdate,
    DemandUpdate,
    EngineUpdate,
    LateStream,
    LimitReport,
    LimitStatement,
    LimitUpdate,
    Message,
    OriginQuery,
    OriginReply,
    OriginUpdate,
    PermitReply,
    PermitRequest,
    StartGrant,
    StartRequest,
    SuspectUpdate,
    TokenQuery,
    TokenReply,
    TokenReport,
    TokenRequest,
    encode,
)
from dragonflyhold.gateway.model import ModelAdapter, RegistrationState, Upstream, UpstreamId
from dragonflyhold.gateway.origin_directory import OriginDirectory
from dragonflyhold.gateway.permits import UpstreamPermits
from dragonflyhold.gateway.starts import PacedStarts
from dragonflyhold.gateway.stream_origins import StreamKey
from dragonflyhold.gateway.upstream_view import UpstreamView
from dragonflyhold.gateway.waiting import DemandTracker
from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.hashing import combine, hash64
from dragonflyhold.ids import ServiceName, Version
from dragonflyhold.platform.store import StorePosition

# Number of agents that forward a crash record, so that the loss of one does no harm.
CRASH_RELAYS = 3
# Number of agents that keep the origin of a stream.
ORIGIN_KEEPERS = 3


@final
class AgentLinks:
    """The links of one gateway to the agents, one for each VM with an engine.

    Applies the state that agents report to the upstream table and sends them the demand.
    """

    def __init__(
        self,
        table: UpstreamTable,
        catalogue: Catalogue,
        crashes: CrashEvidence,
        agent_port: int,
        required_version: Callable[[ModelAdapter], Version],
        report_incarnation: Callable[[Upstream], None],
        count_event: Callable[[str], None],
    ) -> None:
        # What client accounts usually ask of the engines.
        self.account_need = AccountNeed()
        self.demands = DemandTracker(
            lambda key: catalogue.versions.get(key, Version(0)),
            self._send_demand,
            lambda call: asyncio.get_running_loop().call_soon(call),
            need=self.account_need.share,
        )
        self.starts = PacedStarts(self._send_to_agent)
        self.permits = UpstreamPermits(self, count_event)
        # Loads that upstreams without an agent have stated to this and to other gateways.
        self.loads = SharedLoads()
        # Exchanges the origins of streams with the agents; set by the gateway.
        self.origins: OriginDirectory | None = None
        # Takes tokens of limited accounts; set by the gateway.
        self.account_limits: AccountLimits | None = None
        # Exchanges the newest known change with the agents; set by the daemon.
        self.operator_watch: TableWatch | None = None
        # Has the registry read soon; set by the gateway.
        self.read_registry_soon: Callable[[], None] = lambda: None
        self._table = table
        self._catalogue = catalogue
        self._crashes = crashes
        self._agent_port = agent_port
        self._required_version = required_version
        self._report_incarnation = report_incarnation
        self._log = JsonLogger("engines")
        self._agents: dict[str, AgentLink] = {}
        self._gateway_count = GatewayCount()
        self._crash_batch = CrashBatch(crashes, self._send_crashes)

    def is_engine(self, upstream: Upstream) -> bool:
        """Whether an upstream is an engine, which has an agent on its VM."""
        configuration = self._catalogue.configuration
        if configuration is None:
            return bool(upstream.adapters)
        service = configuration.services.get(upstream.service)
        return service is not None and service.engine is not None

    def has_starting_engine(self, service: ServiceName) -> bool:
        """Whether some engine of a service is not ready yet.

        Its agent cannot send commands yet, or its base model is not loaded.
        """
        now = time.monotonic()
        return any(
            not (view.can_load and view.has_model)
            and not view.is_superseded
            and not view.is_ending(now)
            and self.is_engine(view.upstream)
            for view in self._table.of_service(service)
        )

    def release_waiting(self, upstream_id: UpstreamId) -> None:
        """Let the requests that wait for an upstream choose again."""
        self.demands.notify_upstream_waiters(upstream_id)
        self.starts.release(upstream_id)

    def ensure_link(self, upstream: Upstream) -> None:
        """Maintain a link to the agent of an engine while its VM has an upstream."""
        if not self.is_engine(upstream):
            return
        if upstream.ip in self._agents:
            self._add_entry(self._agents[upstream.ip], upstream)
            return
        agent = AgentLink(self, upstream.ip)
        self._agents[upstream.ip] = agent
        agent.task = asyncio.get_running_loop().create_task(
            maintain_link(agent, upstream.ip, self._agent_port, lambda: self._is_link_needed(agent))
        )

    def _add_entry(self, agent: AgentLink, upstream: Upstream) -> None:
        self._mark_superseded(agent)
        self._replace_demand(agent)
        view, update = self._table.views.get(upstream.upstream_id), agent.last_update
        if view is None or view.is_linked or update is None:
            return
        if (update.upstream_id, update.start_time_ms) == (
            upstream.upstream_id,
            upstream.start_time_ms,
        ):
            # The agent's report came before the entry, and is repeated only when it changes.
            self._apply_engine_update(agent, update)

    def share_crashes(self, news: Sequence[CrashRecord]) -> None:
        """Send new records to some agents, which forward them to the other gateways."""
        self._crash_batch.add(news)

    def _send_crashes(self, update: CrashUpdate) -> None:
        links, data = self._crash_links(), encode(update)
        for link in random.sample(links, min(len(links), CRASH_RELAYS)):
            link.send_encoded(data)

    def compare_crashes(self) -> None:
        """Compare records with one agent, so that lost ones are replaced; call once a second."""
        links = self._crash_links()
        if links:
            random.choice(links).send(CrashDigest(self._crashes.digest))

    def _crash_links(self) -> list[Link]:
        return [
            agent.link
            for agent in self._agents.values()
            if agent.link is not None and agent.protocol >= CRASH_PROTOCOL
        ]

    def find_counter(self, view: UpstreamView) -> Link | None:
        """Return the link to the agent that counts requests to an upstream, if there is one.

        It is the agent on the upstream's VM if that is connected, else the first one in a ranking
        by rendezvous hashing.
        """
        agents = {
            agent.ip: agent.link
            for agent in self._agents.values()
            if agent.link is not None and agent.protocol >= LIMIT_PROTOCOL
        }
        if not agents:
            return None
        ip = view.ip
        if ip not in agents:
            ip = max(agents, key=lambda ip: combine(view.address_hash, hash64(ip.encode())))
        return agents[ip]

    def token_agents(self) -> list[AgentLink]:
        """Return the connected agents that count for client accounts."""
        return [
            agent
            for agent in self._agents.values()
            if agent.link is not None and agent.protocol >= TOKEN_PROTOCOL
        ]

    def origin_keepers(self, key: StreamKey) -> list[Link]:
        """Return the links to the agents that keep a stream's origin, first those of first rank."""
        agents = (
            agent
            for agent in self._agents.values()
            if agent.link is not None and agent.protocol >= ORIGIN_PROTOCOL
        )
        first = heapq.nlargest(
            ORIGIN_KEEPERS, agents, key=lambda agent: combine(key, agent.ip_hash)
        )
        return [agent.link for agent in first if agent.link is not None]

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each agent that got no message lately; call once per period."""
        now = time.monotonic()
        for agent in self._agents.values():
            if agent.link is not None and now - agent.link.last_sent_at >= HEARTBEAT_S / 2:
                agent.link.send(DemandUpdate([], change=self._known_change()))

    def ping_silent_agents(self) -> None:
        """Ping the agents of silent VMs on which requests depend; call often."""
        now = time.monotonic()
        for view in self._table.silent_upstreams(self.demands.has_upstream_waiters, now):
            agent = self._agents.get(view.ip)
            if agent is not None and agent.link is not None:
                agent.link.send(DemandUpdate([], is_ping=True, change=self._known_change()))
                view.liveness.note_ping(now)

    def count_gateways(self) -> int:
        """Return the number of gateways, as far as known, at least 1."""
        return self._gateway_count.value

    def count_known_gateways(self) -> int | None:
        """Return the number of gateways, ``None`` before an agent has told it."""
        return self._gateway_count.told

    def close(self) -> None:
        """Close all links."""
        for agent in self._agents.values():
            if agent.task is not None:
                agent.task.cancel()
            if agent.link is not None:
                agent.link.close()

    # Events from the links

    def agent_connected(self, agent: AgentLink) -> None:
        """Send the complete demand to a newly connected agent."""
        self._log.info("Connected to an agent.", ip=agent.ip)
        view = self._current_view(agent)
        if agent.link is not None and view is not None:
            agent.demands_of = view.upstream.upstream_id
            agent.link.send(self.demands.snapshot(view.upstream.upstream_id))

    def agent_disconnected(self, agent: AgentLink, was_silent: bool) -> None:
        """Let requests that wait at the agent's engine choose an upstream again."""
        self._log.warning("The connection to an agent was closed.", ip=agent.ip)
        agent.protocol = 1
        agent.last_update = None
        if was_silent and self.operator_watch is not None:
            self.operator_watch.note_silent_peer()
        for view in self._table.at_ip(agent.ip):
            view.is_linked = False
            view.lost_silently = was_silent
            view.can_load = False
            self.demands.notify_upstream_waiters(view.upstream.upstream_id)
        self.permits.note_agents_changed(self._table.views.values())
        if self.origins is not None:
            self.origins.note_keepers_changed()
        if self.account_limits is not None:
            self.account_limits.note_agent_lost(agent, was_silent)

    def agent_message(self, agent: AgentLink, message: Message) -> None:
        """Handle a message from an agent."""
        view, now = self._current_view(agent), time.monotonic()
        if view is not None:
            self._table.note_agent_message(view.upstream.upstream_id, now)
        match message:
            case EngineUpdate():
                agent.last_update = message
                self._apply_engine_update(agent, message)
            case SuspectUpdate():
                # Only gateways of an earlier build count by request.
                pass
            case CrashUpdate():
                news = self._crashes.apply(message)
                self.share_crashes(self._crashes.add_sound_traits(news))
            case CrashDigest(digest):
                if digest != self._crashes.digest and agent.link is not None:
                    agent.link.send(self._crashes.snapshot())
            case AgentHeartbeat():
                if self.operator_watch is not None:
                    self.operator_watch.note_hint(message.change)
                self._gateway_count.note(message.gateways)
                if agent.protocol != message.protocol:
                    agent.protocol = message.protocol
                    if self.origins is not None:
                        self.origins.note_keepers_changed()
                    self.compare_crashes()
                    self.permits.note_agents_changed(self._table.views.values())
                    if self.account_limits is not None and message.protocol >= TOKEN_PROTOCOL:
                        self.account_limits.note_agent_gained(agent)
                if view is not None:
                    self._table.apply_heartbeat(view.upstream.upstream_id, message, now)
                for row in self.loads.merge(message.loads, now):
                    self._table.apply_shared_load(row, now)
            case StartGrant():
                self.starts.note_grant(message)
            case PermitReply():
                self.permits.note_reply(message)
            case LimitUpdate(statements):
                self._apply_limits(statements)
            case OriginReply():
                if self.origins is not None:
                    self.origins.note_reply(message)
            case OriginQuery():
                if agent.link is not None and self.origins is not None:
                    agent.link.send(self.origins.reply_to(message))
            case TokenReply():
                if self.account_limits is not None:
                    self.account_limits.note_reply(message)
            case TokenQuery():
                if agent.link is not None and self.account_limits is not None:
                    self.account_limits.answer(agent.link, message)
            case (
                DemandUpdate()
                | StartRequest()
                | LateStream()
                | LimitReport()
                | PermitRequest()
                | OriginUpdate()
                | TokenRequest()
                | TokenReport()
            ):
                self._log.warning("A message that only gateways send was ignored.", ip=agent.ip)

    def _apply_limits(self, statements: Sequence[LimitStatement]) -> None:
        for statement in statements:
            upstream_id = UpstreamId(statement.incarnation.rpartition("@")[0])
            view = self._table.views.get(upstream_id)
            if view is not None and view.upstream.incarnation_id == statement.incarnation:
                self.permits.apply(view, statement)

    def _apply_engine_update(self, agent: AgentLink, update: EngineUpdate) -> None:
        if update.start_time_ms and update.start_time_ms != agent.start_time_ms:
            self._incarnation_changed(agent, update.start_time_ms)
        view = self._current_view(agent)
        if view is None:
            return
        if update.start_time_ms > view.upstream.start_time_ms and update.upstream_id is not None:
            # The registry still holds the entry of the previous incarnation.
            self._add_incarnation(view.upstream, update.upstream_id, update.start_time_ms)
            self._replace_demand(agent)
            view = self._current_view(agent) or view
        if update.start_time_ms and update.start_time_ms != view.upstream.start_time_ms:
            # Either the agent or the registry does not know the newest incarnation yet.
            return
        upstream_id = view.upstream.upstream_id
        if update.is_draining and self._table.gates.note_leaving(view.upstream):
            self._log.failure(
                "An upstream leaves; nothing more is sent to it.",
                runner=upstream_id,
                service=view.upstream.service,
                born=view.upstream.start_time_ms,
                stated_to="agent",
            )
        self._table.apply_update(upstream_id, update, time.monotonic())
        for key, version in update.resident:
            if self.demands.has_waiters(key) and version >= self._required_version(key):
                self.demands.notify_target_waiters(key)
        if not update.has_model or update.is_draining:
            self.demands.notify_upstream_waiters(upstream_id)

    def _add_incarnation(
        self, previous: Upstream, upstream_id: UpstreamId, start_time_ms: int
    ) -> None:
        """Add an incarnation that has no entry yet, if it is known to be of the same service.

        Otherwise its address may have passed on to another service; the entry tells.
        """
        sole = self._catalogue.sole_engine_service()
        is_sole = sole is not None and sole.name == previous.service
        if not is_sole and upstream_id != previous.upstream_id:
            self._log.info(
                "An engine's service is unknown; nothing is sent to it until its entry is read.",
                runner=upstream_id,
                address=previous.address,
                born=start_time_ms,
                service_before=previous.service,
            )
            self.read_registry_soon()
            return
        self._report_incarnation(
            dataclasses.replace(
                previous,
                upstream_id=upstream_id,
                start_time_ms=start_time_ms,
                state=RegistrationState.READY,
                adapters={},
                software=None,
            )
        )

    def _replace_demand(self, agent: AgentLink) -> None:
        """Replace the demand at an agent if its engine has another id now."""
        view = self._current_view(agent)
        if view is None or view.upstream.upstream_id == agent.demands_of:
            return
        before, agent.demands_of = agent.demands_of, view.upstream.upstream_id
        if before is not None:
            self.demands.transfer_demand(before, view.upstream.upstream_id)

    def _incarnation_changed(self, agent: AgentLink, start_time_ms: int) -> None:
        known = {
            view.upstream.upstream_id: view.upstream.start_time_ms
            for view in self._table.at_ip(agent.ip)
        }
        self._log.info(
            "An engine has a new incarnation.",
            ip=agent.ip,
            born=start_time_ms,
            before=agent.start_time_ms,
            entries=known,
        )
        agent.start_time_ms = start_time_ms
        self._mark_superseded(agent)

    def _mark_superseded(self, agent: AgentLink) -> None:
        for view in self._table.at_ip(agent.ip):
            view.is_superseded = view.upstream.start_time_ms < agent.start_time_ms
            if view.is_superseded:
                self.demands.notify_upstream_waiters(view.upstream.upstream_id)

    def _send_demand(self, upstream_id: UpstreamId, update: DemandUpdate) -> None:
        view = self._table.views.get(upstream_id)
        if view is None:
            return
        agent = self._agents.get(view.ip)
        if agent is not None and agent.link is not None and self._current_view(agent) is view:
            loads = self.loads.take_news(time.monotonic())
            agent.link.send(dataclasses.replace(update, change=self._known_change(), loads=loads))

    def _known_change(self) -> StorePosition:
        watch = self.operator_watch
        return watch.table_rows.last_change if watch is not None else NO_CHANGE

    def _send_to_agent(self, upstream_id: UpstreamId, message: StartRequest | LateStream) -> None:
        view = self._table.views.get(upstream_id)
        agent = self._agents.get(view.ip) if view is not None else None
        if agent is not None and agent.link is not None:
            agent.link.send(message)

    def _current_view(self, agent: AgentLink) -> UpstreamView | None:
        """Return the incarnation that an agent reports on, else the newest one on its VM."""
        views = self._table.at_ip(agent.ip)
        reporting = [view for view in views if view.upstream.start_time_ms == agent.start_time_ms]
        return max(reporting or views, key=lambda view: view.upstream.start_time_ms, default=None)

    def _is_link_needed(self, agent: AgentLink) -> bool:
        if self._table.at_ip(agent.ip):
            return True
        self._agents.pop(agent.ip, None)
        return False
