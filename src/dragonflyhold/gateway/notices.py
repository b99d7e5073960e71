"""Reads what an upstream states about itself in any of its answers, and acts on it."""

from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.dispatch import UpstreamTable
from dragonflyhold.gateway.http_client import Head
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import Upstream, UpstreamId
from dragonflyhold.gateway.send_gates import MAX_TURNED_AWAY_S
from dragonflyhold.platform import codec


@final
class UpstreamNotices:
    """Closes the gates of upstreams and lets the requests that wait for them choose again.

    ``release`` does the latter for the requests of this gateway that wait at an upstream.
    """

    def __init__(
        self,
        table: UpstreamTable,
        pool: ConnectionPool,
        release: Callable[[UpstreamId], None],
        count_event: Callable[[str], None],
    ) -> None:
        self._table = table
        self._pool = pool
        self._release = release
        self._count_event = count_event
        self._log = JsonLogger("notices")

    def note_answer(self, asked: Upstream, head: Head, request_id: str) -> None:
        """Apply what an answer states; ``asked`` is the incarnation that the request named.

        An answer that names another incarnation speaks for that one.
        """
        is_leaving, wait_s = codec.states_leaving(head), codec.turned_away_s(head)
        if not is_leaving and not wait_s:
            return
        upstream, speaker_id = asked, codec.instance_id(head)
        if speaker_id is not None and speaker_id != asked.upstream_id:
            view = self._table.views.get(speaker_id)
            if view is None:
                if is_leaving:
                    self._table.gates.note_leaving_id(speaker_id)
                return
            upstream = view.upstream
        if is_leaving:
            self._note_leaving(upstream, head, request_id)
        elif wait_s:
            self._note_turned_away(upstream, wait_s, request_id)

    def _note_leaving(self, upstream: Upstream, head: Head, request_id: str) -> None:
        if not self._table.gates.note_leaving(upstream):
            return
        self._count_event("upstream_leaving")
        self._log.failure(
            "An upstream leaves; nothing more is sent to it.",
            runner=upstream.upstream_id,
            service=upstream.service,
            born=upstream.start_time_ms,
            status=head.status,
            stated_to=request_id,
        )
        self._pool.close_idle(upstream.address)
        self._release(upstream.upstream_id)

    def _note_turned_away(self, upstream: Upstream, wait_s: float, request_id: str) -> None:
        self._count_event("upstream_turned_away")
        if not self._table.gates.note_turned_away(upstream, wait_s, monotonic_now()):
            return
        self._log.failure(
            "An upstream turns requests away; nothing is sent to it for a time.",
            runner=upstream.upstream_id,
            service=upstream.service,
            born=upstream.start_time_ms,
            wait_ms=round(min(wait_s, MAX_TURNED_AWAY_S) * 1000),
            is_capped=wait_s > MAX_TURNED_AWAY_S,
            stated_to=request_id,
        )
        self._release(upstream.upstream_id)
