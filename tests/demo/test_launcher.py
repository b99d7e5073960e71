"""Tests of the launcher with stand-ins only."""

import json
import pathlib

import pytest

from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.operations import ADAPTERS_PER_CHANGE, adapter_changes, base_operations
from dragonflyhold.demo.plans import ASSOCIATION, PLANS, DeploymentPlan
from dragonflyhold.demo.processes import DeploymentError, ProcessGroup, wait_until
from dragonflyhold.demo.settings_files import derive_settings
from dragonflyhold.settings import EntrySettings, SidecarSettings, load_settings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


class TestDeployment:
    """Guards against a deployment that leaves processes running or starts without its upstreams."""

    def test_stand_ins_are_started_and_stopped(self, tmp_path: pathlib.Path) -> None:
        plan = ASSOCIATION.reduced(entries=1, upstreams=1, adapters=10)
        with Deployment(plan, EXAMPLES, tmp_path) as deployment:
            deployment.start_stand_ins()
            deployment.check()
            assert deployment.upstream_journal("tapster-lm-1") == {"runs": [], "violations": []}
            assert deployment.upstream_journal("token-ledger-1") == {"calls": []}
            assert deployment.set_fault("table", frozen=True)["frozen"] is True
            processes = [stand_in.process for stand_in in deployment.platform.values()]
            processes[0].suspend()
        assert not any(process.is_running for process in processes)

    def test_check_reports_a_process_that_exited(self, tmp_path: pathlib.Path) -> None:
        # Guards against a start that waits for a daemon which exited because of invalid settings.
        group = ProcessGroup(tmp_path)
        process = group.add("broken", ["standin", "nothing"])
        assert process.wait()
        with pytest.raises(DeploymentError, match="broken ended with status 2"):
            group.check()
        assert "--- broken" in group.log_tails()
        assert "nothing" in group.log_tails()
        group.stop()

    def test_wait_is_bounded(self) -> None:
        with pytest.raises(DeploymentError, match="the condition"):
            wait_until("the condition", lambda: False, 0.0)


class TestPlans:
    """Guards against demo deployments smaller than the ones they represent."""

    @pytest.mark.parametrize("plan", PLANS.values(), ids=list(PLANS))
    def test_bounded_changes_cover_all_adapters(self, plan: DeploymentPlan) -> None:
        changes = list(adapter_changes(plan))
        assert max(len(operations) for operations in changes) == 2 * ADAPTERS_PER_CHANGE
        names = {
            (operation.put.version.service, operation.put.version.adapter)
            for operations in changes
            for operation in operations
        } - {("", "")}
        assert len(names) == plan.adapter_count == 3000

    def test_upstreams_are_distributed_over_data_centres(self) -> None:
        upstreams = list(ASSOCIATION.upstreams())
        assert {plan.data_centre for plan in upstreams} == set(ASSOCIATION.data_centres)
        addresses = {plan.name: "127.0.0.1:1" for plan in upstreams}
        operations = base_operations(ASSOCIATION, addresses)
        names = [operation.put.upstream.name for operation in operations]
        assert [name for name in names if name] == list(addresses)


class TestDeriveSettings:
    """Guards against example settings that the daemons reject."""

    @pytest.mark.parametrize("name", PLANS)
    @pytest.mark.parametrize(
        ("daemon", "model"), [("entry", EntrySettings), ("sidecar", SidecarSettings)]
    )
    def test_derived_examples_are_valid(
        self, tmp_path: pathlib.Path, name: str, daemon: str, model: type
    ) -> None:
        changes = {"name": "other", "config.seeds": ["127.0.0.1:1"], "log.level": "debug"}
        target = tmp_path / "settings.json"
        derive_settings(EXAMPLES / name / f"{daemon}.json", target, changes)
        settings = load_settings(target, model)
        assert (settings.name, settings.log.level) == ("other", "debug")
        assert settings.region == PLANS[name].region
        assert json.loads(target.read_text())["config"]["seeds"] == ["127.0.0.1:1"]
