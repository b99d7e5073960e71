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


def state_of(*values: ConfigObject) -> ConfigState:
    change, _ = parse_change(builders.change("first", *builders.puts(values)))
    assert validate(change, ConfigState()) == []
    return ConfigState().with_writes(writes_of(change, Revision(1)), Revision(1))


@pytest.fixture
def state() -> ConfigState:
    return state_of(
        builders.service(),
        builders.plain_service(),
        builders.upstream("runner-1", "127.0.0.1:1"),
        builders.adapter("ale"),
        builders.version("ale", 1),
        builders.kind(),
    )


def codes(state: ConfigState, *operations: pb.Operation) -> list[tuple[int, str]]:
    change, unreadable = parse_change(builders.change("c", *operations))
    assert not unreadable
    return [(problem.operation, problem.code.value) for problem in validate(change, state)]


class TestValidate:
    """Guards against a configuration that daemons cannot act on."""

    def test_all_problems_are_reported_at_once(self, state: ConfigState) -> None:
        runner = builders.upstream("runner.2", "localhost:1", of="none")
        found = codes(
            state,
            put(dataclasses.replace(runner, batch_limit=0)),
            put(builders.adapter("a/b", of="ledger")),
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

    def test_references_inside_one_change(self, state: ConfigState) -> None:
        version = builders.version("new", 1, of="new-lm")
        adapter = builders.adapter("new", of="new-lm")
        service = builders.service("new-lm")
        assert codes(state, *builders.puts([version, adapter, service])) == []
        assert codes(state, *builders.puts([version, service])) == [(0, "unknown_reference")]

    def test_referenced_objects_stay(self, state: ConfigState) -> None:
        service = builders.service()
        assert codes(state, delete(service)) == [(0, "still_referenced")]
        assert codes(state, delete(builders.adapter("ale"))) == [(0, "still_referenced")]
        everything = [
            builders.upstream("runner-1", "127.0.0.1:1"),
            builders.version("ale", 1),
            builders.adapter("ale"),
            builders.kind(),
            service,
        ]
        assert codes(state, *(delete(value) for value in everything)) == []

    def test_object_that_a_change_adds_below_a_deleted_one(self, state: ConfigState) -> None:
        operations = [
            delete(builders.version("ale", 1)),
            delete(builders.adapter("ale")),
            put(builders.version("ale", 2)),
        ]
        assert codes(state, *operations) == [(2, "unknown_reference")]

    def test_weights_of_a_version_never_change(self, state: ConfigState) -> None:
        # Engines hold a loaded version by its number, so they would serve the old weights.
        changed = builders.version("ale", 1, weights="other.safetensors")
        assert codes(state, put(changed)) == [(0, "immutable")]
        assert codes(state, put(builders.version("ale", 1))) == []

    def test_region_and_type_of_a_service_never_change(self, state: ConfigState) -> None:
        assert codes(state, put(builders.service(region="nz-north"))) == [(0, "immutable")]
        moved = builders.upstream("runner-1", "127.0.0.1:1", of="ledger")
        assert codes(state, put(moved)) == [(0, "immutable")]

    def test_two_upstreams_with_one_address(self, state: ConfigState) -> None:
        second = builders.upstream("runner-2", "127.0.0.1:1")
        assert codes(state, put(second)) == [(0, "address_in_use")]
        first = builders.upstream("runner-1", "127.0.0.1:1")
        assert codes(state, delete(first), put(second)) == []

    @pytest.mark.parametrize("expected", [0, 2])
    def test_expected_revision(self, state: ConfigState, expected: int) -> None:
        assert codes(state, put(builders.kind(), expected)) == [(0, "revision_conflict")]
        assert codes(state, put(builders.kind(), 1)) == []
        assert codes(state, put(builders.kind("new"), 0)) == []

    def test_object_written_twice(self, state: ConfigState) -> None:
        twice = [put(builders.kind(worth=1)), put(builders.kind(worth=2))]
        assert codes(state, *twice) == [(1, "duplicate_object")]

    def test_empty_and_too_large_changes(self, state: ConfigState) -> None:
        assert codes(state) == [(0, "empty_change")]
        many = [put(builders.adapter(f"a{number}")) for number in range(MAX_OPERATIONS + 1)]
        assert codes(state, *many) == [(0, "change_too_large")]

    def test_control_characters_in_paths(self, state: ConfigState) -> None:
        # They separate the fields of the packed catalogue.
        version = builders.version("ale", 2, weights="a\x02b")
        assert codes(state, put(version)) == [(0, "bad_value")]

    @pytest.mark.parametrize("change_id", ["", "a b", "-a", "a" * 129])
    def test_change_ids(self, state: ConfigState, change_id: str) -> None:
        change, _ = parse_change(builders.change(change_id, put(builders.kind())))
        assert [item.code.value for item in validate(change, state)] == ["bad_change_id"]
