"""Typed identifiers shared by all packages."""

import secrets
from typing import NamedTuple, NewType

ServiceName = NewType("ServiceName", str)
UpstreamName = NewType("UpstreamName", str)
AdapterName = NewType("AdapterName", str)
Version = NewType("Version", int)
KindName = NewType("KindName", str)
CallerId = NewType("CallerId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
VmName = NewType("VmName", str)

# Identity of one run of a process, 16 hexadecimal digits.
Incarnation = NewType("Incarnation", str)
# ``<upstream>.<incarnation>.<sequence>``
RequestId = NewType("RequestId", str)
# SHA-256 over service, adapter, version, call and body.
Fingerprint = NewType("Fingerprint", bytes)
ChangeId = NewType("ChangeId", str)
# Number of accepted configuration changes.
Revision = NewType("Revision", int)
# Fencing number of a sidecar incarnation.
Epoch = NewType("Epoch", int)
# Engine-side name of one load of one adapter version; never reused.
EngineAdapterName = NewType("EngineAdapterName", str)
# Identity of one run of an engine.
BootId = NewType("BootId", str)

INCARNATION_BYTES = 8


class AdapterKey(NamedTuple):
    """Names one version of one adapter of a service."""

    service: ServiceName
    adapter: AdapterName
    version: Version

    def __str__(self) -> str:
        """Return the name used in the ``model`` field of requests."""
        return f"{self.service}/{self.adapter}:{self.version}"


class RequestIdParts(NamedTuple):
    """The parts of a request id."""

    upstream: UpstreamName
    incarnation: Incarnation
    sequence: int


def new_incarnation() -> Incarnation:
    """Return a random process identity."""
    return Incarnation(secrets.token_hex(INCARNATION_BYTES))


def format_request_id(parts: RequestIdParts) -> RequestId:
    """Return the text form of a request id."""
    return RequestId(f"{parts.upstream}.{parts.incarnation}.{parts.sequence}")


def parse_request_id(text: str) -> RequestIdParts:
    """Return the parts of a request id; raise ``ValueError`` if it has not that form."""
    upstream, _, rest = text.partition(".")
    incarnation, _, sequence = rest.partition(".")
    is_hex = len(incarnation) == 2 * INCARNATION_BYTES and set(incarnation) <= set(
        "0123456789abcdef"
    )
    if not upstream or not is_hex or not (sequence.isascii() and sequence.isdigit()):
        raise ValueError(f"request id {text!r} is not <upstream>.<incarnation>.<sequence>")
    return RequestIdParts(UpstreamName(upstream), Incarnation(incarnation), int(sequence))


def parse_model(text: str) -> AdapterKey:
    """Parse ``service/adapter:version``; raise ``ValueError`` if it has not that form."""
    service, slash, rest = text.partition("/")
    adapter, colon, version = rest.rpartition(":")
    is_number = version.isascii() and version.isdigit()
    if not (slash and colon and service and adapter and is_number):
        raise ValueError(f"model {text!r} is not <service>/<adapter>:<version>")
    return AdapterKey(ServiceName(service), AdapterName(adapter), Version(int(version)))
