"""Behave fixtures that start a deployment of real processes for each scenario that is tagged.

A scenario tagged ``@fixture.deployment.association`` or ``@fixture.deployment.kauri-ridge`` runs
against a configured deployment with 1 entry and up to 2 upstreams per service, available as
``context.deployment``. An additional tag ``@fixture.entries.2`` raises the number of entries to 2.
The steps that drive a deployment are in ``steps/deployment_steps.py``.
"""

import pathlib
import sys
import tempfile
from collections.abc import Iterator

from behave import fixture, use_fixture
from behave.model import Scenario
from behave.runner import Context

from dragonflyhold.demo.caller import Caller
from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.operations import OperatorClient
from dragonflyhold.demo.plans import PLANS
from dragonflyhold.demo.processes import DeploymentError

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
DEPLOYMENT_TAG = "fixture.deployment."
ENTRIES_TAG = "fixture.entries."
UPSTREAMS_PER_SERVICE = 2
ADAPTERS_PER_SERVICE = 20


@fixture
def deployment(context: Context, name: str, entries: int) -> Iterator[Deployment]:
    plan = PLANS[name].reduced(entries, UPSTREAMS_PER_SERVICE, ADAPTERS_PER_SERVICE)
    with tempfile.TemporaryDirectory(prefix="dragonflyhold-") as scratch:
        context.deployment = Deployment(plan, EXAMPLES, pathlib.Path(scratch))
        context.callers = []
        try:
            context.deployment.start()
            context.deployment.configure()
            context.callers = [Caller(entry.url) for entry in context.deployment.entries]
            context.operator = OperatorClient(context.deployment.entries[0].grpc_address)
            yield context.deployment
            context.operator.close()
        except DeploymentError:
            # The logs are removed with the deployment.
            print(context.deployment.log_tails(), file=sys.stderr)
            raise
        finally:
            for caller in context.callers:
                caller.close()
            context.deployment.stop()


def before_scenario(context: Context, scenario: Scenario) -> None:
    tags = scenario.effective_tags
    names = [tag.removeprefix(DEPLOYMENT_TAG) for tag in tags if tag.startswith(DEPLOYMENT_TAG)]
    entries = [int(tag.removeprefix(ENTRIES_TAG)) for tag in tags if tag.startswith(ENTRIES_TAG)]
    for name in names:
        use_fixture(deployment, context, name, max(entries, default=1))
