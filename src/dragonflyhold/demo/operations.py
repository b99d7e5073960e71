"""Applies a deployment's configuration through the operator API."""

import contextlib
import secrets
import time
from collections.abc import Iterator, Sequence
from typing import Any, final

import grpc

from dragonflyhold.demo.plans import DeploymentPlan, ServicePlan
from dragonflyhold.demo.processes import DeploymentError
from dragonflyhold.settings import TlsSettings
from dragonflyhold.states import ServiceType
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc

CALL_TIMEOUT_S = 10.0
# A change that was refused because the region was unreachable is retried for this long.
APPLY_TIMEOUT_S = 40.0
RETRY_DELAY_S = 0.5
# Bounds the size of a change, which is one transaction of the table.
ADAPTERS_PER_CHANGE = 500
BASE_MODEL = "demo-base"
AUTHOR = "demo"

_SERVICE_TYPES = {
    ServiceType.ENGINE: pb.SERVICE_TYPE_ENGINE,
    ServiceType.PLAIN: pb.SERVICE_TYPE_PLAIN,
}
# Refusals that no longer occur once the daemons have discovered each other.
_TRANSIENT_CODES = frozenset({"region_unreachable"})


@final
class OperatorClient:
    """Operator API client of one entry daemon."""

    def __init__(self, address: str) -> None:
        self._channel = make_channel(address, TlsSettings())
        self._stub = operator_pb2_grpc.OperatorStub(self._channel)

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def apply(self, operations: Sequence[pb.Operation]) -> int:
        """Apply one change; return its revision; raise ``DeploymentError`` if it is refused."""
        deadline = time.monotonic() + APPLY_TIMEOUT_S
        request = pb.ChangeRequest(author=AUTHOR, operations=operations)
        while True:
            reply = self._send_change(request, deadline)
            if reply.result == pb.CHANGE_RESULT_ACCEPTED:
                return int(reply.revision)
            codes = {problem.code for problem in reply.problems}
            if not codes or not codes <= _TRANSIENT_CODES or time.monotonic() >= deadline:
                raise DeploymentError(f"the change was refused: {reply}")
            time.sleep(RETRY_DELAY_S)

    def wait_in_force(self, revision: int, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Wait until the revision is in force at every daemon; raise ``DeploymentError`` if not."""
        request = pb.WaitInForceRequest(revision=revision, timeout_ms=int(timeout_s * 1000))
        reply = self._stub.WaitInForce(request, timeout=timeout_s + CALL_TIMEOUT_S)
        if not reply.in_force:
            raise DeploymentError(f"revision {revision} is not in force at {list(reply.missing)}")

    def explain(self, request_id: str) -> Any:
        """Return the recorded events of a request."""
        request = pb.ExplainRequest(request_id=request_id)
        return self._stub.Explain(request, timeout=CALL_TIMEOUT_S)

    def _send_change(self, request: pb.ChangeRequest, deadline: float) -> Any:
        """Send a change under a new id and poll until its outcome is known."""
        request.change_id = f"demo-{secrets.token_hex(8)}"
        lookup = pb.GetChangeRequest(change_id=request.change_id)
        is_sent = False
        while True:
            with contextlib.suppress(grpc.RpcError):
                if is_sent:
                    reply = self._stub.GetChange(lookup, timeout=CALL_TIMEOUT_S)
                    is_sent = reply.result != pb.CHANGE_RESULT_UNKNOWN
                else:
                    is_sent = True
                    reply = self._stub.Apply(request, timeout=CALL_TIMEOUT_S)
                if reply.result not in (pb.CHANGE_RESULT_IN_DOUBT, pb.CHANGE_RESULT_UNKNOWN):
                    return reply
            if time.monotonic() >= deadline:
                raise DeploymentError(f"the outcome of change {request.change_id} is not known")
            time.sleep(RETRY_DELAY_S)


def base_operations(plan: DeploymentPlan, sidecar_addresses: dict[str, str]) -> list[pb.Operation]:
    """Return the operations that create services, request kinds and upstreams."""
    operations = []
    for service in plan.services:
        operations.append(_put(service=_service(plan, service)))
        for kind in service.kinds:
            message = pb.RequestKind(
                service=service.name,
                name=kind.name,
                worth=kind.worth,
                deadline_ms=kind.deadline_ms,
                idempotent=kind.idempotent,
                batch=kind.batch,
            )
            operations.append(_put(kind=message))
    for upstream in plan.upstreams():
        target = pb.Upstream(
            name=upstream.name,
            service=upstream.service.name,
            data_centre=upstream.data_centre,
            sidecar_address=sidecar_addresses[upstream.name],
            checks_fencing=upstream.service.checks_fencing,
            slots=plan.slots,
            batch_limit=plan.batch_limit,
            mode=pb.UPSTREAM_MODE_ACTIVE,
        )
        operations.append(_put(upstream=target))
    return operations


def adapter_changes(plan: DeploymentPlan) -> Iterator[list[pb.Operation]]:
    """Yield the operations of each change that creates adapters, each with version 1."""
    for service in plan.services:
        names = service.adapter_names()
        for start in range(0, len(names), ADAPTERS_PER_CHANGE):
            operations = []
            for name in names[start : start + ADAPTERS_PER_CHANGE]:
                operations.append(_put(adapter=pb.Adapter(service=service.name, name=name)))
                operations.append(put_version(service.name, name, 1))
            yield operations


def put_version(service: str, adapter: str, version: int) -> pb.Operation:
    """Return the operation that registers a version of an adapter."""
    return _put(version=_version(service, adapter, version))


def delete_version(service: str, adapter: str, version: int) -> pb.Operation:
    """Return the operation that removes a version of an adapter."""
    config_object = pb.ConfigObject(version=_version(service, adapter, version))
    return pb.Operation(delete=config_object)


def weights_path(service: str, adapter: str, version: int) -> str:
    """Return the path of an adapter version in the weight store."""
    return f"{service}/{adapter}/{version}"


def _version(service: str, adapter: str, version: int) -> pb.AdapterVersion:
    weights = weights_path(service, adapter, version)
    return pb.AdapterVersion(service=service, adapter=adapter, version=version, weights=weights)


def _service(plan: DeploymentPlan, service: ServicePlan) -> pb.Service:
    return pb.Service(
        name=service.name,
        region=plan.region,
        type=_SERVICE_TYPES[service.type],
        base_model=BASE_MODEL if service.type is ServiceType.ENGINE else "",
        load_stall_weight=service.load_stall_weight,
        batch_efficiency_weight=service.batch_efficiency_weight,
    )


def _put(**fields: Any) -> pb.Operation:
    return pb.Operation(put=pb.ConfigObject(**fields))
