"""Tests of the validation of changes."""

import dataclasses

import pytest

from dragonflyhold.config.changes import parse_change
from dragonflyhold.config.objects import ConfigObject
from dragonflyhold.config.state import ConfigState
from dragonflyhold.config.validation import MAX_OPERATIONS, validate, writes_of
from dragonflyhold.ids import Revision
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.config import builders
from tests.config.builders import delete, put


def make_state(*values: ConfigObject) -> ConfigState:
    change, _ = parse_change(builders.change("first", *builders.puts(values)))
    assert validate(change, ConfigState()) == []
    return ConfigState().with_writes(writes_of(change, Revision(1)), Revision(1))


@pytest.fixture
def state() -> ConfigState:
    return make_state(
        builders.service(),
        builders.plain_service(),
        builders.upstream("runner-1", "127.0.0.1:1"),
        builders.adapter("ale"),
        builders.version("ale", 1),
        builders.kind(),
    )


def problem_codes(state: ConfigState, *operations: pb.Operation) -> list[tuple[int, str]]:
    change, parse_problems = parse_change(builders.change("c", *operations))
    assert not parse_problems
    return [(problem.operation, problem.code.value) for problem in validate(change, state)]


class TestValidate:
    """Guards against an inconsistent or invalid configuration being accepted."""

    def test_all_problems_are_reported_at_once(self, state: ConfigState) -> None:
        invalid_upstream = builders.upstream("runner.2", "localhost:1", service_name="none")
        found = problem_codes(
            state,
            put(dataclasses.replace(invalid_upstream, batch_limit=0)),
            put(builders.adapter("a/b", service_name="ledger")),
            delete(builders.adapter("stout")),
            put(builders.kind(worth=float("nan")), expected=7),
        )
        assert found == [
            (0, "bad_name"),
            (0, "unknown_reference"),
            (0, "bad_value"),
            (0, "bad_value"),
            (1, "bad_name"),
            (1, "wrong_service_type"),
            (2, "not_found"),
            (3, "bad_value"),
            (3, "revision_conflict"),
        ]

    def test_references_within_one_change(self, state: ConfigState) -> None:
        version = builders.version("new", 1, service_name="new-lm")
        adapter = builders.adapter("new", service_name="new-lm")
        service = builders.service("new-lm")
        assert problem_codes(state, *builders.puts([version, adapter, service])) == []
        assert problem_codes(state, *builders.puts([version, service])) == [
            (0, "unknown_reference")
        ]

    def test_referenced_objects_cannot_be_deleted(self, state: ConfigState) -> None:
        service = builders.service()
        assert problem_codes(state, delete(service)) == [(0, "still_referenced")]
        assert problem_codes(state, delete(builders.adapter("ale"))) == [(0, "still_referenced")]
        all_values = [
            builders.upstream("runner-1", "127.0.0.1:1"),
            builders.version("ale", 1),
            builders.adapter("ale"),
            builders.kind(),
            service,
        ]
        assert problem_codes(state, *(delete(value) for value in all_values)) == []

    def test_reference_to_object_deleted_by_the_change(self, state: ConfigState) -> None:
        operations = [
            delete(builders.version("ale", 1)),
            delete(builders.adapter("ale")),
            put(builders.version("ale", 2)),
        ]
        assert problem_codes(state, *operations) == [(2, "unknown_reference")]

    def test_weights_of_a_version_are_immutable(self, state: ConfigState) -> None:
        # Engines identify a loaded version by its number and would keep serving the old weights.
        changed = builders.version("ale", 1, weights="other.safetensors")
        assert problem_codes(state, put(changed)) == [(0, "immutable")]
        assert problem_codes(state, put(builders.version("ale", 1))) == []

    def test_service_region_and_upstream_service_are_immutable(self, state: ConfigState) -> None:
        assert problem_codes(state, put(builders.service(region="nz-north"))) == [(0, "immutable")]
        moved = builders.upstream("runner-1", "127.0.0.1:1", service_name="ledger")
        assert problem_codes(state, put(moved)) == [(0, "immutable")]

    def test_upstream_addresses_are_unique(self, state: ConfigState) -> None:
        second = builders.upstream("runner-2", "127.0.0.1:1")
        assert problem_codes(state, put(second)) == [(0, "address_in_use")]
        first = builders.upstream("runner-1", "127.0.0.1:1")
        assert problem_codes(state, delete(first), put(second)) == []

    @pytest.mark.parametrize("expected", [0, 2])
    def test_expected_revision(self, state: ConfigState, expected: int) -> None:
        assert problem_codes(state, put(builders.kind(), expected)) == [(0, "revision_conflict")]
        assert problem_codes(state, put(builders.kind(), 1)) == []
        assert problem_codes(state, put(builders.kind("new"), 0)) == []

    def test_duplicate_object(self, state: ConfigState) -> None:
        twice = [put(builders.kind(worth=1)), put(builders.kind(worth=2))]
        assert problem_codes(state, *twice) == [(1, "duplicate_object")]

    def test_empty_and_too_large_changes(self, state: ConfigState) -> None:
        assert problem_codes(state) == [(0, "empty_change")]
        operations = [put(builders.adapter(f"a{number}")) for number in range(MAX_OPERATIONS + 1)]
        assert problem_codes(state, *operations) == [(0, "change_too_large")]

    def test_control_characters_in_paths_are_rejected(self, state: ConfigState) -> None:
        # Control characters separate the fields in the packed catalogue.
        version = builders.version("ale", 2, weights="a\x02b")
        assert problem_codes(state, put(version)) == [(0, "bad_value")]

    @pytest.mark.parametrize("change_id", ["", "a b", "-a", "a" * 129])
    def test_invalid_change_ids(self, state: ConfigState, change_id: str) -> None:
        change, _ = parse_change(builders.change(change_id, put(builders.kind())))
        assert [item.code.value for item in validate(change, state)] == ["bad_change_id"]
