"""The ``Operator`` gRPC service of an entry daemon."""

import itertools
from collections.abc import Callable, Iterator
from typing import NoReturn, final

import grpc

from dragonflyhold.config.codec import to_message
from dragonflyhold.config.objects import ObjectKey, ObjectType, StoredObject, key_of
from dragonflyhold.config.service import ConfigService
from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import ChangeId, Revision
from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import peer_names
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc as pb_grpc

DEFAULT_PAGE_SIZE = 200
MAX_PAGE_SIZE = 1000
MAX_WAIT_MS = 600_000


@final
class OperatorService(pb_grpc.OperatorServicer):
    """Lets operators change and inspect the configuration and the state of the daemon.

    With TLS, only clients whose certificate contains one of ``tls.operator_names`` may call; others
    get ``PERMISSION_DENIED``. Without TLS, every client that can connect may call.
    """

    def __init__(
        self,
        config_service: ConfigService,
        explain: Callable[[str], pb.ExplainReply],
        status: Callable[[], pb.StatusReply],
        tls: TlsSettings,
    ) -> None:
        self._config = config_service
        self._explain = explain
        self._status = status
        self._tls = tls

    def add_to_server(self, server: grpc.Server) -> None:
        """Register the ``Operator`` service."""
        pb_grpc.add_OperatorServicer_to_server(self, server)

    def Apply(  # noqa: N802
        self, request: pb.ChangeRequest, context: grpc.ServicerContext
    ) -> pb.ChangeReply:
        """Apply a change."""
        self._authorize(context)
        return self._config.apply(request)

    def GetChange(  # noqa: N802
        self, request: pb.GetChangeRequest, context: grpc.ServicerContext
    ) -> pb.ChangeReply:
        """Return the outcome of a change."""
        self._authorize(context)
        return self._config.get_change(ChangeId(request.change_id))

    def ListObjects(  # noqa: N802
        self, request: pb.ListObjectsRequest, context: grpc.ServicerContext
    ) -> pb.ListObjectsReply:
        """Return one page of objects in key order."""
        self._authorize(context)
        try:
            types = [ObjectType(request.type)] if request.type else sorted(ObjectType)
            after = _parse_page_token(request.page_token)
        except ValueError as error:
            _abort(context, grpc.StatusCode.INVALID_ARGUMENT, str(error))
        limit = min(request.limit or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        state = self._config.state
        matching = _matching_objects(state, types, request, after)
        page = list(itertools.islice(matching, limit + 1))
        reply = pb.ListObjectsReply(revision=state.revision)
        reply.objects.extend(to_message(item.object, item.revision) for item in page[:limit])
        if len(page) > limit:
            reply.next_page_token = _format_page_token(key_of(page[limit - 1].object))
        return reply

    def WaitInForce(  # noqa: N802
        self, request: pb.WaitInForceRequest, context: grpc.ServicerContext
    ) -> pb.WaitInForceReply:
        """Wait until all reachable daemons have a revision in force."""
        self._authorize(context)
        timeout_s = min(request.timeout_ms, MAX_WAIT_MS) / 1000
        return self._config.wait_in_force(Revision(request.revision), timeout_s)

    def Status(  # noqa: N802
        self, request: pb.StatusRequest, context: grpc.ServicerContext
    ) -> pb.StatusReply:
        """Return the state of the daemon and its view of the upstreams."""
        self._authorize(context)
        return self._status()

    def Explain(  # noqa: N802
        self, request: pb.ExplainRequest, context: grpc.ServicerContext
    ) -> pb.ExplainReply:
        """Return the routing, refusals and retries of a request."""
        self._authorize(context)
        return self._explain(request.request_id)

    def _authorize(self, context: grpc.ServicerContext) -> None:
        if not self._tls.is_enabled:
            return
        if not set(peer_names(context)).intersection(self._tls.operator_names):
            message = "the certificate names no operator"
            _abort(context, grpc.StatusCode.PERMISSION_DENIED, message)


def _abort(context: grpc.ServicerContext, code: grpc.StatusCode, message: str) -> NoReturn:
    context.abort(code, message)
    raise AssertionError("abort does not return")


def _matching_objects(
    state: ConfigState,
    types: list[ObjectType],
    request: pb.ListObjectsRequest,
    after: ObjectKey | None,
) -> Iterator[StoredObject]:
    for type_ in types:
        if after is not None and type_ < after.type:
            continue
        start = after if after is not None and after.type is type_ else None
        for stored in state.list_objects(type_, request.service, start):
            if key_of(stored.object).name.startswith(request.name_prefix):
                yield stored


def _format_page_token(key: ObjectKey) -> str:
    return f"{key.type.value}/{key.service}/{key.name}/{key.version}"


def _parse_page_token(token: str) -> ObjectKey | None:
    if not token:
        return None
    parts = token.split("/")
    if len(parts) != 4:
        raise ValueError(f"page token {token!r} is not one of an earlier reply")
    return ObjectKey(ObjectType(parts[0]), parts[1], parts[2], int(parts[3]))
