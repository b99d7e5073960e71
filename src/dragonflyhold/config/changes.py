"""Configuration changes, the problems found in them, and their protobuf messages."""

import dataclasses
import enum
import hashlib
from typing import final

from dragonflyhold.config.codec import MessageError, from_message, key_from_message
from dragonflyhold.config.objects import ConfigObject, ObjectKey, key_of
from dragonflyhold.ids import ChangeId, Revision
from dragonflyhold.transport.schema import operator_pb2 as pb


class ProblemCode(enum.Enum):
    """Stable code for the reason why a change was rejected."""

    BAD_OPERATION = "bad_operation"
    BAD_CHANGE_ID = "bad_change_id"
    CHANGE_ID_REUSED = "change_id_reused"
    CHANGE_TOO_LARGE = "change_too_large"
    EMPTY_CHANGE = "empty_change"
    DUPLICATE_OBJECT = "duplicate_object"
    BAD_NAME = "bad_name"
    BAD_VALUE = "bad_value"
    IMMUTABLE = "immutable"
    UNKNOWN_REFERENCE = "unknown_reference"
    STILL_REFERENCED = "still_referenced"
    WRONG_SERVICE_TYPE = "wrong_service_type"
    ADDRESS_IN_USE = "address_in_use"
    NOT_FOUND = "not_found"
    LIMIT_EXCEEDED = "limit_exceeded"
    REVISION_CONFLICT = "revision_conflict"
    REGION_UNREACHABLE = "region_unreachable"
    TABLE_UNAVAILABLE = "table_unavailable"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One reason why a change is rejected; ``operation`` is the index of the operation."""

    operation: int
    code: ProblemCode
    message: str
    # Current revision of the object, set for revision conflicts.
    current_revision: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Writes an object, or deletes it if ``value`` is ``None``."""

    key: ObjectKey
    value: ConfigObject | None
    # Required current revision of the object; 0: it must not exist; ``None``: not checked.
    expected_revision: Revision | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A list of operations that is applied atomically."""

    id: ChangeId
    operations: tuple[Operation, ...]


def parse_change(request: pb.ChangeRequest) -> tuple[Change, list[Problem]]:
    """Return the parsed change and one problem per operation that could not be parsed."""
    operations: list[Operation] = []
    problems: list[Problem] = []
    for index, message in enumerate(request.operations):
        try:
            operations.append(_parse_operation(message))
        except MessageError as error:
            problems.append(Problem(index, ProblemCode.BAD_OPERATION, str(error)))
    return Change(ChangeId(request.change_id), tuple(operations)), problems


def change_digest(request: pb.ChangeRequest) -> bytes:
    """Return a digest that detects reuse of a change id for a different change."""
    return hashlib.sha256(request.SerializeToString(deterministic=True)).digest()


def problem_message(problem: Problem) -> pb.ChangeProblem:
    """Return the protobuf message for a problem."""
    return pb.ChangeProblem(
        operation=problem.operation,
        code=problem.code.value,
        message=problem.message,
        current_revision=problem.current_revision,
    )


def _parse_operation(message: pb.Operation) -> Operation:
    expected_revision: Revision | None = None
    if message.HasField("expected_revision"):
        expected_revision = Revision(message.expected_revision)
    match message.WhichOneof("operation"):
        case "put":
            value = from_message(message.put)
            return Operation(key_of(value), value, expected_revision)
        case "delete":
            return Operation(key_from_message(message.delete), None, expected_revision)
        case _:
            raise MessageError("the operation neither puts nor deletes an object")
