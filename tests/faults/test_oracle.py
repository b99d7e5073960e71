"""Tests of the oracle of fault experiments."""

import dataclasses
from typing import Any

import pytest

from dragonflyhold.faults.oracle import (
    CallerRecord,
    Evidence,
    VersionChange,
    expected_text,
    find_violations,
    prompt_digest,
)
from dragonflyhold.states import Outcome

WEIGHTS = "svc/a/2"
SENT_AT = 100.0
PERMIT = "svc-1.0000000000000000.1"

ANSWERED = CallerRecord(
    prompt="p",
    weights=WEIGHTS,
    idempotent=True,
    outcomes=(Outcome.OK,),
    codes=("",),
    text=expected_text(WEIGHTS, "p", 3),
    max_tokens=3,
    sent_at=SENT_AT,
    ended_at=SENT_AT + 1,
)
REFUSED = dataclasses.replace(ANSWERED, outcomes=(Outcome.NOT_RUN,), codes=("queue_full",), text="")
UNKNOWN = dataclasses.replace(REFUSED, codes=("unknown_version",))
WITH_PERMIT = dataclasses.replace(ANSWERED, idempotent=False, permit=PERMIT)


def run(prompt: str = "p", **fields: Any) -> dict[str, Any]:
    entry = {
        "request_id": PERMIT,
        "prompt_digest": prompt_digest(prompt),
        "state": "done",
        "started_at": SENT_AT,
    }
    return {**entry, **fields}


def evidence(
    *records: CallerRecord, runs: tuple[dict[str, Any], ...] = (), **fields: Any
) -> Evidence:
    base = Evidence(
        records=records,
        engine_journals={"svc-1": {"runs": list(runs), "violations": []}},
        plain_journals={},
        changes=(),
        final_versions={},
        stops={},
        revisions={},
        poison_prompts=(),
    )
    return dataclasses.replace(base, **fields)


def change(submitted_at: float, accepted_at: float | None, new_version: int) -> VersionChange:
    return VersionChange("svc", "a", new_version - 1, new_version, submitted_at, accepted_at)


class TestFindViolations:
    """Guards against an oracle that misses violations or reports false ones."""

    @pytest.mark.parametrize(
        ("guarantee", "violating"),
        [
            ("exact adapter", evidence(dataclasses.replace(ANSWERED, text="cut"), runs=(run(),))),
            ("not run", evidence(REFUSED, runs=(run(),))),
            ("at most once", evidence(WITH_PERMIT, runs=(run(), run()))),
            ("at most once", evidence(WITH_PERMIT)),
            (
                "at most once",
                evidence(WITH_PERMIT, plain_journals={"p": {"calls": [{"key": PERMIT}] * 2}}),
            ),
            (
                "never evicted",
                evidence(engine_journals={"svc-1": {"runs": [], "violations": ["a"]}}),
            ),
            (
                "leaving upstream",
                evidence(ANSWERED, runs=(run(),), stops={"svc-1": [(SENT_AT - 4, SENT_AT + 9)]}),
            ),
            (
                "never reverts",
                evidence(
                    changes=[change(1.0, 2.0, 2)], final_versions={("svc", "a"): frozenset({1})}
                ),
            ),
            ("never reverts", evidence(revisions={"entry-1.1": [3, 4, 3]})),
            (
                "in force",
                evidence(
                    UNKNOWN,
                    changes=[change(1.0, SENT_AT - 8, 2)],
                    final_versions={("svc", "a"): frozenset({2})},
                ),
            ),
            (
                "in force",
                evidence(
                    ANSWERED,
                    runs=(run(),),
                    changes=[change(1.0, SENT_AT - 8, 3)],
                    final_versions={("svc", "a"): frozenset({3})},
                ),
            ),
            (
                "crashing request",
                evidence(runs=(run("x", state="crashed"),) * 4, poison_prompts=["x"]),
            ),
            (
                "crashing request",
                evidence(
                    dataclasses.replace(REFUSED, codes=("quarantined",)),
                    runs=(run(state="crashed"),),
                ),
            ),
        ],
    )
    def test_violation_is_reported(self, guarantee: str, violating: Evidence) -> None:
        assert [v.promise for v in find_violations(violating) if guarantee in v.promise]

    @pytest.mark.parametrize(
        "valid",
        [
            evidence(ANSWERED, runs=(run(),)),
            evidence(WITH_PERMIT, runs=(run(),)),
            # A retry of an idempotent request may run twice.
            evidence(ANSWERED, runs=(run(), run(request_id="svc-1.0000000000000000.2"))),
            # The first attempt may have run.
            evidence(
                dataclasses.replace(REFUSED, outcomes=(Outcome.IN_DOUBT, Outcome.NOT_RUN)),
                runs=(run(),),
            ),
            # A request that arrived before the stop may still start.
            evidence(ANSWERED, runs=(run(),), stops={"svc-1": [(SENT_AT - 1, SENT_AT + 9)]}),
            # The next change may already have removed the version, although its reply was lost.
            evidence(
                UNKNOWN,
                changes=[change(1.0, SENT_AT - 8, 2), change(SENT_AT, None, 3)],
                final_versions={("svc", "a"): frozenset({3})},
            ),
            evidence(runs=(run("x", state="crashed"),) * 3, poison_prompts=["x"]),
            evidence(
                dataclasses.replace(
                    REFUSED,
                    outcomes=(Outcome.FAILED, Outcome.NOT_RUN),
                    codes=("upstream_crashed", "quarantined"),
                ),
                runs=(run(state="crashed"),) * 2,
            ),
        ],
    )
    def test_valid_evidence_has_no_violations(self, valid: Evidence) -> None:
        assert find_violations(valid) == []
