"""Validates and commits configuration changes; resolves transactions of unknown outcome."""

import dataclasses
from collections.abc import Callable
from typing import final

from dragonflyhold.config.changes import (
    Change,
    Problem,
    ProblemCode,
    change_digest,
    parse_change,
    problem_message,
)
from dragonflyhold.config.deltas import Delta
from dragonflyhold.config.objects import ObjectKey, ObjectType, Service
from dragonflyhold.config.propagation import Propagation
from dragonflyhold.config.replica import ConfigReplica
from dragonflyhold.config.state import ConfigState
from dragonflyhold.config.store import ConfigStore, StoreError
from dragonflyhold.config.validation import MAX_OPERATIONS, validate, writes_of
from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.ids import ChangeId, Region, Revision
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.settings import ConfigSettings
from dragonflyhold.transport.schema import operator_pb2 as pb

_LOG = ComponentLogger("config")

# Time limit for retries after conflicts and lost replies. Afterwards the change is reported as in
# doubt if a reply was lost, and otherwise as a conflict.
APPLY_TIMEOUT_S = 8.0
MAX_ATTEMPTS = 64
_RETRY_DELAY_S = 0.1


@final
@dataclasses.dataclass(slots=True)
class _CommitState:
    """State of one change across retries.

    ``in_doubt_row_version`` is the version of the head row on which a transaction with an unknown
    outcome was conditioned.
    """

    in_doubt_row_version: int | None = None

    def may_still_commit(self, row_version: int) -> bool:
        """Return whether the transaction can take effect while the head row has this version."""
        return self.in_doubt_row_version == row_version


@final
class Committer:
    """Commits changes for operators; thread-safe."""

    def __init__(
        self,
        settings: ConfigSettings,
        replica: ConfigReplica,
        store: ConfigStore,
        propagation: Propagation,
        metrics: Metrics,
        clock: Callable[[], float],
        sleep: Callable[[float], object],
        on_accepted: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._store = store
        self._propagation = propagation
        self._metrics = metrics
        self._clock = clock
        self._sleep = sleep
        self._on_accepted = on_accepted

    def apply(self, request: pb.ChangeRequest) -> pb.ChangeReply:
        """Commit or reject a change; the result is ``IN_DOUBT`` if the outcome is unknown."""
        reply = self._apply(request)
        result = pb.ChangeResult.Name(reply.result).removeprefix("CHANGE_RESULT_").lower()
        self._metrics.count_event(f"config_change_{result}")
        _LOG.info(
            "Configuration change processed.",
            change=request.change_id,
            author=request.author,
            result=result,
            revision=reply.revision,
        )
        return reply

    def get_change(self, change_id: ChangeId) -> pb.ChangeReply:
        """Return the outcome of a change."""
        try:
            accepted = self._store.find_change(change_id)
        except PlatformUnavailableError as error:
            problem = Problem(0, ProblemCode.TABLE_UNAVAILABLE, str(error))
            return self._reply(pb.CHANGE_RESULT_IN_DOUBT, [problem])
        if accepted is None:
            return self._reply(pb.CHANGE_RESULT_UNKNOWN, [])
        return pb.ChangeReply(result=pb.CHANGE_RESULT_ACCEPTED, revision=accepted.revision)

    def _apply(self, request: pb.ChangeRequest) -> pb.ChangeReply:
        if len(request.operations) > MAX_OPERATIONS:
            message = f"{len(request.operations)} operations; at most {MAX_OPERATIONS} are allowed"
            return self._reject([Problem(0, ProblemCode.CHANGE_TOO_LARGE, message)])
        change, parse_problems = parse_change(request)
        if parse_problems:
            return self._reject(parse_problems)
        commit_state = _CommitState()
        deadline = self._clock() + APPLY_TIMEOUT_S
        for _ in range(MAX_ATTEMPTS):
            try:
                reply = self._try_commit(request, change, commit_state)
            except (PlatformUnavailableError, StoreError) as error:
                if commit_state.in_doubt_row_version is None:
                    # This call wrote nothing, but an earlier call with the same id may have.
                    problem = Problem(0, ProblemCode.TABLE_UNAVAILABLE, str(error))
                    return self._reply(pb.CHANGE_RESULT_IN_DOUBT, [problem])
                reply = None
            if reply is not None:
                return reply
            if self._clock() >= deadline:
                break
            self._sleep(_RETRY_DELAY_S if commit_state.in_doubt_row_version is not None else 0.0)
        if commit_state.in_doubt_row_version is None:
            message = f"other changes were accepted first in each of {MAX_ATTEMPTS} attempts"
            return self._reject([Problem(0, ProblemCode.REVISION_CONFLICT, message)])
        return self._reply(pb.CHANGE_RESULT_IN_DOUBT, [])

    def _try_commit(
        self, request: pb.ChangeRequest, change: Change, commit_state: _CommitState
    ) -> pb.ChangeReply | None:
        """Try to commit once; return ``None`` if another attempt is needed."""
        # The head row is read before the id row: if the head row has changed since the transaction
        # in doubt and the id row is absent, that transaction can no longer take effect.
        head = self._store.read_head()
        accepted = self._store.find_change(change.id) if change.id else None
        if accepted is not None:
            return self._reply_to_duplicate(request, accepted.revision, accepted.digest)
        if not commit_state.may_still_commit(head.row_version):
            commit_state.in_doubt_row_version = None
        self._propagation.catch_up_from_table(head.revision)
        state = self._replica.state
        if state.revision != head.revision:
            return None
        problems = validate(change, state) or self._check_regions(change, state)
        if problems:
            # A rejection would be wrong while an earlier transaction may still take effect.
            return None if commit_state.in_doubt_row_version is not None else self._reject(problems)
        try:
            revision = self._store.commit(head, request)
        except ConditionFailedError:
            return None
        except PlatformUnavailableError:
            commit_state.in_doubt_row_version = head.row_version
            raise
        self._install(change, state, revision)
        return pb.ChangeReply(result=pb.CHANGE_RESULT_ACCEPTED, revision=revision)

    def _install(self, change: Change, state: ConfigState, revision: Revision) -> None:
        writes = writes_of(change, revision)
        deleted = {key: revision for key, stored in writes.items() if stored is None}
        self._replica.install_delta(Delta(state.revision, revision, writes, deleted))
        self._propagation.push_to_all_data_centres()
        self._on_accepted()

    def _reply_to_duplicate(
        self, request: pb.ChangeRequest, revision: Revision, digest: bytes
    ) -> pb.ChangeReply:
        if digest != change_digest(request):
            message = f"change id {request.change_id!r} was used for another change"
            return self._reject([Problem(0, ProblemCode.CHANGE_ID_REUSED, message)])
        try:
            self._propagation.catch_up_from_table(revision)
        except (PlatformUnavailableError, StoreError) as error:
            _LOG.warning(
                "Could not install an accepted change; it will be installed later.",
                revision=revision,
                error=error,
            )
        self._propagation.push_to_all_data_centres()
        return pb.ChangeReply(result=pb.CHANGE_RESULT_ACCEPTED, revision=revision)

    def _check_regions(self, change: Change, state: ConfigState) -> list[Problem]:
        problems = []
        for region, index in sorted(_affected_regions(change, state).items()):
            if not self._reaches_majority(region):
                message = f"region {region!r}: half of its data centres or more do not answer"
                problems.append(Problem(index, ProblemCode.REGION_UNREACHABLE, message))
        return problems

    def _reaches_majority(self, region: Region) -> bool:
        """Return whether more than half of the data centres of a region respond now.

        Earlier contacts do not count. After a network partition since then, this side could accept
        a change that does not reach the other side, while the other side still has a majority.
        """
        data_centres = self._replica.region_data_centres(region)
        if not data_centres:
            return True
        started_at = self._clock()
        self._propagation.contact_all(data_centres)
        return self._replica.majority_age_s(region, started_at) <= 0.0

    def _reject(self, problems: list[Problem]) -> pb.ChangeReply:
        is_conflict = any(item.code is ProblemCode.REVISION_CONFLICT for item in problems)
        result = pb.CHANGE_RESULT_CONFLICT if is_conflict else pb.CHANGE_RESULT_INVALID
        return self._reply(result, problems)

    def _reply(self, result: pb.ChangeResult, problems: list[Problem]) -> pb.ChangeReply:
        return pb.ChangeReply(
            result=result,
            revision=self._replica.revision,
            problems=[problem_message(problem) for problem in problems],
        )


def _affected_regions(change: Change, state: ConfigState) -> dict[Region, int]:
    """Return the regions that a change affects, each with the first operation that does."""
    regions: dict[Region, int] = {}
    for index, operation in enumerate(change.operations):
        for service in _affected_services(operation.key, operation.value, state):
            regions.setdefault(service.region, index)
    return regions


def _affected_services(key: ObjectKey, value: object, state: ConfigState) -> list[Service]:
    names = {key.service, getattr(value, "service", ""), key.name}
    if key.type is ObjectType.UPSTREAM:
        stored = state.get(key)
        names = {getattr(value, "service", ""), getattr(stored and stored.object, "service", "")}
    elif key.type is not ObjectType.SERVICE:
        names = {key.service}
    found = [value] if isinstance(value, Service) else []
    for name in sorted(names):
        stored = state.get(ObjectKey(ObjectType.SERVICE, "", name))
        if stored is not None and isinstance(stored.object, Service):
            found.append(stored.object)
    return found
