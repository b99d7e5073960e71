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

# Random id of one process incarnation, 16 hexadecimal digits.
Incarnation = NewType("Incarnation", str)
# ``<upstream>.<incarnation>.<sequence>``
RequestId = NewType("RequestId", str)
# SHA-256 of service, adapter, version, call and body.
Fingerprint = NewType("Fingerprint", bytes)
ChangeId = NewType("ChangeId", str)
# Number of configuration changes accepted so far.
Revision = NewType("Revision", int)
# Fencing epoch of a sidecar incarnation.
Epoch = NewType("Epoch", int)
# Name under which an engine knows one load of an adapter version; never reused.
EngineAdapterName = NewType("EngineAdapterName", str)
# Id of one engine incarnation.
BootId = NewType("BootId", str)

INCARNATION_BYTES = 8


class AdapterKey(NamedTuple):
    """Identifies one version of an adapter of a service."""

    service: ServiceName
    adapter: AdapterName
    version: Version

    def __str__(self) -> str:
        """Return the name used in the ``model`` field of requests."""
        return f"{self.service}/{self.adapter}:{self.version}"


class RequestIdParts(NamedTuple):
    """The components of a request id."""

    upstream: UpstreamName
    incarnation: Incarnation
    sequence: int


def new_incarnation() -> Incarnation:
    """Return a random incarnation id."""
    return Incarnation(secrets.token_hex(INCARNATION_BYTES))


def format_request_id(parts: RequestIdParts) -> RequestId:
    """Return the text form of a request id."""
    return RequestId(f"{parts.upstream}.{parts.incarnation}.{parts.sequence}")


def parse_request_id(text: str) -> RequestIdParts:
    """Split a request id into its parts; raise ``ValueError`` if it is malformed."""
    upstream, _, rest = text.partition(".")
    incarnation, _, sequence = rest.partition(".")
    is_hex = len(incarnation) == 2 * INCARNATION_BYTES and set(incarnation) <= set(
        "0123456789abcdef"
    )
    if not upstream or not is_hex or not (sequence.isascii() and sequence.isdigit()):
        raise ValueError(f"request id {text!r} is not <upstream>.<incarnation>.<sequence>")
    return RequestIdParts(UpstreamName(upstream), Incarnation(incarnation), int(sequence))


def parse_model(text: str) -> AdapterKey:
    """Parse ``service/adapter:version``; raise ``ValueError`` if it is malformed."""
    service, slash, rest = text.partition("/")
    adapter, colon, version = rest.rpartition(":")
    is_number = version.isascii() and version.isdigit()
    if not (slash and colon and service and adapter and is_number):
        raise ValueError(f"model {text!r} is not <service>/<adapter>:<version>")
    return AdapterKey(ServiceName(service), AdapterName(adapter), Version(int(version)))
