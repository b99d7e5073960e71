"""Tests of requests that crash their upstreams."""

from dragonflyhold.errors import ErrorCode
from dragonflyhold.requests.crashes import CrashReport
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import EntryHarness, running_entry


def _add_sidecars(entry: EntryHarness, count: int) -> None:
    for number in range(count):
        entry.add_sidecar(f"runner-{number}")


def _submits(entry: EntryHarness) -> list[pb.Submit]:
    return [submit for sidecar in entry.sidecars.values() for submit in sidecar.submits]


class TestCrashes:
    """Guards against a request that crashes one upstream after another."""

    def test_second_exclusive_crash_quarantines(self) -> None:
        with running_entry() as entry:
            _add_sidecars(entry, 3)
            for sidecar in entry.sidecars.values():
                sidecar.plan = lambda submit: Plan(
                    (), fail=ErrorCode.UPSTREAM_CRASHED, crashed=True, crashed_alone=True
                )
            response = entry.complete(stream=False)
            assert response.error["code"] == "quarantined"
            assert response.error["outcome"] == "failed"
            again = entry.complete(stream=False)
            assert (again.error["code"], again.error["outcome"]) == ("quarantined", "not_run")
            assert len(_submits(entry)) == 2
            for sidecar in entry.sidecars.values():
                sidecar.plan = lambda submit: Plan()
            assert entry.complete(stream=False, prompt="b").status == 200

    def test_quarantined_permit_is_declined_by_its_owner(self) -> None:
        with running_entry() as entry:
            _add_sidecars(entry, 1)
            body = {"service": "tapster-lm", "adapter": "stout:3", "kind": "issue", "count": 2}
            permits = entry.call("POST", "/v1/permits", body).json["permits"]
            responses = []
            for permit in (permits[0], permits[0], permits[1]):
                headers = {"X_Request_Kind": "issue", "Idempotency_Key": permit}
                responses.append(entry.complete(False, **headers))
                (submit,) = _submits(entry)
                entry.crashes.merge([CrashReport(submit.fingerprint, 3, True)])
            assert responses[0].status == 200
            # The first permit was used; the second was declined by its owner.
            assert [response.error["outcome"] for response in responses[1:]] == [
                "in_doubt",
                "not_run",
            ]
            assert [response.error["code"] for response in responses[1:]] == ["quarantined"] * 2

    def test_third_suspected_crash_quarantines(self) -> None:
        with running_entry() as entry:
            _add_sidecars(entry, 4)
            for sidecar in entry.sidecars.values():
                sidecar.plan = lambda submit: Plan(
                    (), fail=ErrorCode.UPSTREAM_CRASHED, crashed=True
                )
            assert entry.complete(stream=False).error["code"] == "quarantined"
            assert sorted(submit.suspected_crashes for submit in _submits(entry)) == [0, 1, 2]
            (report,) = entry.crashes.reports()
            assert report.quarantined

    def test_repetitions_of_a_suspect_go_to_one_upstream(self) -> None:
        with running_entry() as entry:
            _add_sidecars(entry, 5)
            entry.complete(stream=False)
            (first,) = _submits(entry)
            entry.crashes.merge([CrashReport(first.fingerprint, 1, False)])
            for sidecar in entry.sidecars.values():
                sidecar.submits.clear()
                sidecar.plan = lambda submit: Plan(refuse=ErrorCode.CALLER_LIMIT)
            for _ in range(10):
                entry.complete(stream=False)
            used = [sidecar for sidecar in entry.sidecars.values() if sidecar.submits]
            assert len(used) == 1
            assert all(submit.suspected_crashes == 1 for submit in used[0].submits)

    def test_successful_suspect_is_cleared(self) -> None:
        with running_entry() as entry:
            _add_sidecars(entry, 1)
            entry.complete(stream=False)
            (first,) = _submits(entry)
            entry.crashes.merge([CrashReport(first.fingerprint, 2, False)])
            assert entry.complete(stream=False).status == 200
            assert entry.crashes.reports() == []


class TestFingerprint:
    """Guards against different requests with the same fingerprint."""

    def test_depends_on_the_body(self) -> None:
        with running_entry() as entry:
            _add_sidecars(entry, 1)
            for prompt in ("a", "b", "a"):
                entry.complete(stream=False, prompt=prompt)
            first, second, third = (submit.fingerprint for submit in _submits(entry))
            assert first == third != second
            assert len(first) == 32
