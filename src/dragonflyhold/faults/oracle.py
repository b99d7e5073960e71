"""Checks outcomes reported to callers and operators against upstream journals; no I/O."""

import collections
import dataclasses
import hashlib
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, final

from dragonflyhold.states import Outcome

# A change must be in force everywhere within this time of its acceptance.
IN_FORCE_TIMEOUT_S = 7.0
# An upstream may start new requests for at most this long after SIGTERM to its sidecar.
LEAVING_TIMEOUT_S = 3.0
# Maximum number of upstream crashes that one request may cause in a region.
MAX_CRASHES_PER_REQUEST = 3


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CallerRecord:
    """Outcomes of one request as reported to its caller, over all attempts."""

    # Unique except for prompts that crash engines, so that it identifies the runs.
    prompt: str
    # Empty for plain-service calls.
    weights: str
    idempotent: bool
    outcomes: tuple[Outcome, ...]
    codes: tuple[str, ...]
    text: str
    max_tokens: int
    # Unix times in seconds.
    sent_at: float
    ended_at: float
    permit: str = ""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VersionChange:
    """A change that replaces the version of an adapter with the next one."""

    service: str
    adapter: str
    old_version: int
    new_version: int
    # Unix times in seconds between which the change took effect; the second is ``None`` if it is
    # not known whether the change was accepted.
    submitted_at: float
    accepted_at: float | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee, named by ``promise``, and a description."""

    promise: str
    text: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """All records of an experiment."""

    records: Sequence[CallerRecord]
    # Per upstream.
    engine_journals: Mapping[str, Mapping[str, Any]]
    plain_journals: Mapping[str, Mapping[str, Any]]
    changes: Sequence[VersionChange]
    # Versions per (service, adapter) in the final configuration.
    final_versions: Mapping[tuple[str, str], frozenset[int]]
    # Per upstream: Unix times of each SIGTERM to its sidecar and of that process's exit.
    stops: Mapping[str, Sequence[tuple[float, float]]]
    # Per daemon incarnation, in chronological order.
    revisions: Mapping[str, Sequence[int]]
    poison_prompts: Sequence[str]


def prompt_digest(prompt: str) -> str:
    """Return the digest under which the engine stand-in records a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:16]


def expected_text(weights: str, prompt: str, max_tokens: int) -> str:
    """Return the complete answer that the engine stand-in gives."""
    rest = "".join(f" t{index}" for index in range(1, max_tokens))
    return f"[weights={weights} prompt={prompt_digest(prompt)}]{rest}"


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return all violations of the guarantees."""
    return [
        *_check_answers(evidence),
        *_check_not_run(evidence),
        *_check_at_most_once(evidence),
        *_check_evictions(evidence),
        *_check_leaving(evidence),
        *_check_configuration(evidence),
        *_check_crashes(evidence),
    ]


def _check_answers(evidence: Evidence) -> Iterable[Violation]:
    for record in evidence.records:
        if not record.weights or record.outcomes[-1] is not Outcome.OK:
            continue
        expected = expected_text(record.weights, record.prompt, record.max_tokens)
        if record.text != expected:
            text = f"{record.prompt!r} got {record.text[:200]!r}, expected {expected[:200]!r}"
            yield Violation("exact adapter and whole answer", text)


def _check_not_run(evidence: Evidence) -> Iterable[Violation]:
    runs = collections.Counter(_completion_runs(evidence))
    calls = collections.Counter(_plain_runs(evidence))
    for record in evidence.records:
        if record.prompt in evidence.poison_prompts:
            # The same prompt is sent many times, so a run cannot be matched to a request.
            continue
        if record.permit:
            # A later attempt under the same permit may have run, so only the last outcome counts.
            is_refused = record.outcomes[-1] is Outcome.NOT_RUN
            count = runs[("permit", record.permit)] + calls[record.permit]
        else:
            is_refused = all(outcome is Outcome.NOT_RUN for outcome in record.outcomes)
            count = runs[("prompt", prompt_digest(record.prompt))]
        if is_refused and count:
            text = f"{record.prompt!r} was refused as {record.codes}, but ran {count} times"
            yield Violation("not run is true", text)


def _check_at_most_once(evidence: Evidence) -> Iterable[Violation]:
    runs = collections.Counter(_completion_runs(evidence))
    calls = collections.Counter(_plain_runs(evidence))
    for record in evidence.records:
        if record.idempotent or not record.permit:
            continue
        by_prompt = runs[("prompt", prompt_digest(record.prompt))]
        count = max(by_prompt, runs[("permit", record.permit)]) + calls[record.permit]
        if count > 1:
            yield Violation("at most once", f"permit {record.permit} ran {count} times")
        if record.outcomes[-1] is Outcome.OK and count == 0:
            yield Violation("at most once", f"permit {record.permit} answered without a run")


def _check_evictions(evidence: Evidence) -> Iterable[Violation]:
    for upstream, journal in evidence.engine_journals.items():
        for text in journal["violations"]:
            yield Violation("never evicted in flight", f"{upstream}: {text}")


def _check_leaving(evidence: Evidence) -> Iterable[Violation]:
    for upstream, windows in evidence.stops.items():
        journal = evidence.engine_journals.get(upstream)
        if journal is None:
            continue
        for stopped_at, ended_at in windows:
            late_run_ids = [
                run["request_id"]
                for run in journal["runs"]
                if stopped_at + LEAVING_TIMEOUT_S < run["started_at"] < ended_at
            ]
            late_records = [
                r for r in evidence.records if r.sent_at > stopped_at + LEAVING_TIMEOUT_S
            ]
            digests = {prompt_digest(r.prompt) for r in late_records}
            late_run_ids = [
                run["request_id"]
                for run in journal["runs"]
                if run["request_id"] in late_run_ids and run["prompt_digest"] in digests
            ]
            if late_run_ids:
                yield Violation("leaving upstream", f"{upstream} started {late_run_ids}")


def _check_configuration(evidence: Evidence) -> Iterable[Violation]:
    by_old_weights = {f"{c.service}/{c.adapter}/{c.old_version}": c for c in evidence.changes}
    by_new_weights = {f"{c.service}/{c.adapter}/{c.new_version}": c for c in evidence.changes}
    for change in evidence.changes:
        versions = evidence.final_versions.get((change.service, change.adapter), frozenset())
        # Versions only increase, so a version below an accepted one means that it was reverted.
        if change.accepted_at is not None and max(versions, default=0) < change.new_version:
            text = f"{change} was accepted, but the versions are {sorted(versions)}"
            yield Violation("configuration never reverts", text)
    for record in evidence.records:
        addition, removal = by_new_weights.get(record.weights), by_old_weights.get(record.weights)
        should_be_known = _is_in_force(addition, record.sent_at)
        was_not_removed = removal is None or record.ended_at < removal.submitted_at
        if should_be_known and was_not_removed and "unknown_version" in record.codes:
            yield Violation(
                "in force everywhere", f"{record.weights} was unknown when sent: {record}"
            )
        if _is_in_force(removal, record.sent_at) and record.outcomes[-1] is Outcome.OK:
            yield Violation(
                "in force everywhere", f"{record.weights} was served after its removal: {record}"
            )
    for daemon, revisions in evidence.revisions.items():
        if any(later < earlier for earlier, later in itertools.pairwise(revisions)):
            yield Violation(
                "configuration never reverts", f"revisions of {daemon} decreased: {revisions}"
            )


def _is_in_force(change: VersionChange | None, at: float) -> bool:
    return (
        change is not None
        and change.accepted_at is not None
        and at > (change.accepted_at + IN_FORCE_TIMEOUT_S)
    )


def _check_crashes(evidence: Evidence) -> Iterable[Violation]:
    crashes = collections.Counter(
        run["prompt_digest"]
        for journal in evidence.engine_journals.values()
        for run in journal["runs"]
        if run["state"] == "crashed"
    )
    poison = {prompt_digest(prompt): prompt for prompt in evidence.poison_prompts}
    for digest, prompt in poison.items():
        if crashes[digest] > MAX_CRASHES_PER_REQUEST:
            yield Violation("crashing request", f"{prompt!r} crashed {crashes[digest]} upstreams")
    for record in evidence.records:
        # By design, a suspect that is alone in flight at a second, unrelated crash is quarantined.
        was_in_two_crashes = crashes[prompt_digest(record.prompt)] > 1
        is_poison = record.prompt in evidence.poison_prompts
        if "quarantined" in record.codes and not is_poison and not was_in_two_crashes:
            yield Violation(
                "crashing request",
                f"{record.prompt!r} was quarantined for the crash of another request",
            )


def _completion_runs(evidence: Evidence) -> Iterable[tuple[str, str]]:
    for journal in evidence.engine_journals.values():
        for run in journal["runs"]:
            yield "permit", run["request_id"]
            yield "prompt", run["prompt_digest"]


def _plain_runs(evidence: Evidence) -> Iterable[str]:
    for journal in evidence.plain_journals.values():
        for call in journal["calls"]:
            yield str(call["key"])
