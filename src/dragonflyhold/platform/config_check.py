"""Checks a configuration before the operator writes it to the store; does no I/O.

No finding shows a key of a client account.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, final

from dragonflyhold.accounts import AccountDirectory, AccountProblem
from dragonflyhold.gateway.model import Configuration, RetrySafety, Route
from dragonflyhold.platform.codec import decode_configuration
from dragonflyhold.platform.fields import DecodeError, number

# What gateways do with each problem of the accounts.
_ACCOUNT_PROBLEMS: Mapping[AccountProblem, str] = {
    AccountProblem.NO_LIST: "the accounts are no list: nobody has a valid key",
    AccountProblem.NO_ACCOUNT: "no object, or no name that a header can carry; ignored",
    AccountProblem.NAME_REPEATED: "named again; only the keys of the further entry hold",
    AccountProblem.NO_KEYS: "holds no key that only it names",
    AccountProblem.KEY_INVALID: "keys that no request can carry; ignored",
    AccountProblem.KEY_SHARED: "keys that an earlier account holds",
    AccountProblem.PRIORITY_INVALID: "the priority is not valid; that of the route holds",
    AccountProblem.LIMIT_INVALID: "a part of the limit is not valid and does not hold",
}


class Severity(enum.Enum):
    """Whether a part of the configuration would not take effect as it is written."""

    ERROR = "error"
    WARNING = "warning"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong with a part of a configuration."""

    severity: Severity
    # The part, such as ``route ask``.
    subject: str
    text: str


def check_configuration(fields: Any, in_force: Any = None) -> list[Finding]:
    """Return what is wrong with a configuration, also beside the one in force, if given."""
    if not isinstance(fields, dict):
        return [Finding(Severity.ERROR, "configuration", "it is not an object")]
    findings = list(_find_invalid(fields))
    if not findings:
        configuration = decode_configuration(fields)
        findings += _find_unmatched(configuration, fields)
        findings += _find_contradictions(configuration, fields)
    findings += _find_account_problems(fields)
    findings += _find_old_version(fields, in_force)
    return findings


def _find_invalid(fields: Mapping[str, Any]) -> Iterator[Finding]:
    """Yield the parts for which gateways would reject the whole configuration."""
    rest = {**fields, "routes": [], "services": [], "tenants": None}
    yield from _decode_part("configuration", rest)
    for section in ("routes", "services"):
        parts = fields.get(section)
        if not isinstance(parts, list):
            yield Finding(Severity.ERROR, section, "it is missing or not a list")
            continue
        for position, part in enumerate(parts):
            subject = _subject(section, part, position)
            yield from _decode_part(
                subject, {"version": 1, "routes": [], "services": []} | {section: [part]}
            )


def _decode_part(subject: str, fields: Mapping[str, Any]) -> Iterator[Finding]:
    try:
        decode_configuration(fields)
    except DecodeError as error:
        text = f"the whole configuration would be ignored: {error}"
        yield Finding(Severity.ERROR, subject, text)


def _subject(section: str, part: Any, position: int) -> str:
    name = part.get("name") if isinstance(part, dict) else None
    return f"{section.removesuffix('s')} {name if isinstance(name, str) else f'#{position}'}"


def _find_unmatched(configuration: Configuration, fields: Mapping[str, Any]) -> Iterator[Finding]:
    """Yield entries that no request reaches."""
    led_to: set[str] = set()
    for host, routes in configuration.routes.items():
        if not _is_sendable(host):
            yield Finding(Severity.WARNING, f"host {host}", "no request can name it")
        by_prefix: dict[str, Route] = {}
        for route in routes:
            subject = f"route {route.name}"
            first = by_prefix.setdefault(route.prefix, route)
            if first is not route:
                text = f"never matches: route {first.name} has its host and prefix"
                yield Finding(Severity.ERROR, subject, text)
            if "?" in route.prefix or not _is_sendable(route.prefix):
                text = f"never matches: no path begins with {route.prefix!r}"
                yield Finding(Severity.ERROR, subject, text)
            for share in route.shares:
                led_to.add(share.service)
                if share.service not in configuration.services:
                    text = f"service {share.service} does not exist"
                    yield Finding(Severity.ERROR, subject, text)
                elif len(route.shares) > 1 and not share.weight:
                    text = f"service {share.service} is never chosen: its weight is 0"
                    yield Finding(Severity.WARNING, subject, text)
    for name in configuration.services.keys() - led_to:
        yield Finding(Severity.WARNING, f"service {name}", "no route leads to it")
    yield from _find_repeated(fields)


def _find_repeated(fields: Mapping[str, Any]) -> Iterator[Finding]:
    routes = collections.Counter(part["name"] for part in fields["routes"])
    services = collections.Counter(part["name"] for part in fields["services"])
    for name, count in routes.items():
        if count > 1:
            yield Finding(Severity.WARNING, f"route {name}", f"{count} routes have this name")
    for name, count in services.items():
        if count > 1:
            text = f"defined {count} times; the last definition holds"
            yield Finding(Severity.ERROR, f"service {name}", text)


def _is_sendable(text: str) -> bool:
    """Return whether a host or path can stand in the head of a request as it is."""
    return text.isascii() and " " not in text


def _find_contradictions(
    configuration: Configuration, fields: Mapping[str, Any]
) -> Iterator[Finding]:
    """Yield limits of which one makes the other pointless."""
    for route in _routes(configuration):
        subject = f"route {route.name}"
        if route.target_latency_s > route.timeout_s:
            text = "the target latency is longer than the timeout"
            yield Finding(Severity.WARNING, subject, text)
        if route.max_pause_s is not None and route.max_pause_s > route.timeout_s:
            text = "the longest pause of a stream is longer than the timeout"
            yield Finding(Severity.WARNING, subject, text)
        if route.retry_safety is RetrySafety.ONCE and route.max_attempts > 1:
            text = f"max_attempts {route.max_attempts}: such a request runs once at most"
            yield Finding(Severity.WARNING, subject, text)
        if len(route.host) + len(route.prefix) > configuration.limits.header_bytes:
            text = "never matches: host and prefix exceed the limit on a request's head"
            yield Finding(Severity.ERROR, subject, text)
    for service in fields["services"]:
        yield from _check_engine(service)


def _routes(configuration: Configuration) -> Iterable[Route]:
    return [route for group in configuration.routes.values() for route in group]


def _check_engine(service: Mapping[str, Any]) -> Iterator[Finding]:
    engine = service.get("engine")
    if not engine:
        return
    subject = f"service {service['name']}"
    slots, connections = _amount(engine, "slots"), _amount(service, "connection_limit")
    if slots is not None and connections is not None and connections < slots:
        text = f"{connections:g} connections can't fill {slots:g} slots"
        yield Finding(Severity.WARNING, subject, text)
    memory = _amount(engine, "weights_mb")
    for model in engine["models"]:
        size = _amount(model, "weights_mb")
        if memory is not None and size is not None and size > memory:
            text = f"model {model['name']} is larger than an engine's memory for weights"
            yield Finding(Severity.ERROR, subject, text)
        if _amount(model, "adapters") and not _amount(engine, "adapter_slots"):
            text = f"model {model['name']} has adapters, but its engines have no slots for them"
            yield Finding(Severity.WARNING, subject, text)


def _amount(fields: Mapping[str, Any], name: str) -> float | None:
    """Return a number that the project does not decode, ``None`` without a valid one."""
    try:
        return number(fields.get(name))
    except DecodeError:
        return None


def _find_account_problems(fields: Mapping[str, Any]) -> Iterator[Finding]:
    accounts = decode_configuration(
        {"version": 1, "routes": [], "services": [], "tenants": fields.get("tenants")}
    ).accounts
    if accounts is None:
        return
    for problem, summary in accounts.problems.items():
        named = ", ".join(example for example in summary.examples if example)
        text = f"{_ACCOUNT_PROBLEMS[problem]} ({summary.count})"
        severity = Severity.WARNING if problem is AccountProblem.NO_KEYS else Severity.ERROR
        yield Finding(severity, f"accounts {named}".strip(), text)
    if not accounts.accounts:
        text = "there are none: each route that requires a key rejects all requests"
        yield Finding(Severity.WARNING, "accounts", text)
    yield from _check_limits(accounts, fields["tenants"])


def _check_limits(accounts: AccountDirectory, entries: Any) -> Iterator[Finding]:
    for account in accounts.accounts.values():
        limit = account.limit
        if limit is not None and limit.plain_tokens > limit.rate_per_s + limit.burst:
            text = "a request that states no tokens exceeds rate and burst together"
            yield Finding(Severity.WARNING, f"account {account.name}", text)
    for entry in entries if isinstance(entries, list) else []:
        if isinstance(entry, dict) and _amount(entry, "burst") and not entry.get("rate_per_s"):
            text = "a burst without a rate is no limit"
            yield Finding(Severity.WARNING, f"account {entry.get('name')}", text)


def _find_old_version(fields: Mapping[str, Any], in_force: Any) -> Iterator[Finding]:
    known = _amount(in_force, "version") if isinstance(in_force, dict) else None
    version = _amount(fields, "version")
    if known is not None and version is not None and version <= known:
        text = f"version {version:g} is not above {known:g} and would be ignored"
        yield Finding(Severity.ERROR, "configuration", text)
