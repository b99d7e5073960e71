"""Tests of TLS between entry and sidecars."""

import pathlib

from tests.entry.certificates import Authority
from tests.entry.fake_sidecar import FakeSidecar
from tests.entry.harness import make_settings, running_entry


class TestTlsToSidecars:
    """Guards against requests over unauthenticated connections."""

    def test_answer_over_tls(self, tmp_path: pathlib.Path) -> None:
        tls = Authority(tmp_path).issue("daemon")
        with running_entry(make_settings(tls=tls)) as entry:
            entry.add_sidecar("runner-1")
            assert entry.complete().text == "one two three"

    def test_sidecar_of_another_authority_receives_no_requests(
        self, tmp_path: pathlib.Path
    ) -> None:
        tls = Authority(tmp_path).issue("daemon")
        other = Authority(tmp_path, "other").issue("daemon")
        with running_entry(make_settings(tls=tls)) as entry:
            sidecar = FakeSidecar("runner-1", tls=other)
            entry.sidecars["runner-1"] = sidecar
            entry.config.add_upstream("runner-1", sidecar.address)
            response = entry.complete(False, X_Deadline_Ms="300")
            assert response.error["outcome"] == "not_run"
            assert sidecar.submits == []

    def test_entry_without_a_certificate_is_refused(self, tmp_path: pathlib.Path) -> None:
        tls = Authority(tmp_path).issue("daemon")
        with running_entry() as entry:
            sidecar = FakeSidecar("runner-1", tls=tls)
            entry.sidecars["runner-1"] = sidecar
            entry.config.add_upstream("runner-1", sidecar.address)
            response = entry.complete(False, X_Deadline_Ms="300")
            assert response.error["outcome"] == "not_run"
            assert sidecar.submits == []
