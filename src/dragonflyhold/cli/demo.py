"""Command that runs the example deployments."""

import asyncio
import pathlib
import sys
import tempfile
import time

import click

from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.plans import PLANS, DeploymentPlan
from dragonflyhold.demo.platform_path import PlatformDemo
from dragonflyhold.demo.steps import DemoSteps
from dragonflyhold.errors import DragonflyholdError

EXIT_FAILED = 1
# Name of the platform demo, listed along with the deployments.
PLATFORM_DEMO = "platform"


@click.command(name="demo")
@click.option(
    "--examples",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    default="examples",
    show_default=True,
    help="Directory with the settings of the deployments.",
)
@click.option(
    "--deployment",
    "names",
    multiple=True,
    type=click.Choice([*PLANS, PLATFORM_DEMO]),
    help="Default: all.",
)
@click.option("--logs", type=click.Path(path_type=pathlib.Path), help="Directory for log files.")
@click.option("--small", is_flag=True, help="1 entry, 2 upstreams and 50 adapters per service.")
def demo_command(
    examples: pathlib.Path, names: tuple[str, ...], logs: pathlib.Path | None, small: bool
) -> None:
    """Run the example deployments on loopback with stand-ins for external services."""
    with tempfile.TemporaryDirectory(prefix="dragonflyhold-") as scratch:
        directory = logs or pathlib.Path(scratch)
        for name in names or (*PLANS, PLATFORM_DEMO):
            try:
                if name == PLATFORM_DEMO:
                    _run_platform_demo(directory / name)
                    continue
                plan = PLANS[name].reduced(1, 2, 50) if small else PLANS[name]
                _run_deployment_demo(plan, examples, directory / name)
            except DragonflyholdError as error:
                click.echo(f"failed   {error}", err=True)
                sys.exit(EXIT_FAILED)


def _run_platform_demo(directory: pathlib.Path) -> None:
    started = time.monotonic()
    click.echo("platform: a gateway, two engines with an agent each, the metadata store")
    asyncio.run(PlatformDemo(directory, click.echo).run())
    click.echo(f"done     platform in {time.monotonic() - started:.1f} s\n")


def _run_deployment_demo(
    plan: DeploymentPlan, examples: pathlib.Path, directory: pathlib.Path
) -> None:
    started = time.monotonic()
    upstreams = len(list(plan.upstreams()))
    click.echo(f"{plan.name}: region {plan.region}, {plan.entries} entries, {upstreams} upstreams")
    with Deployment(plan, examples, directory) as deployment:
        deployment.start()
        revision = deployment.configure()
        elapsed = time.monotonic() - started
        click.echo(f"in force revision {revision}, {plan.adapter_count} adapters, {elapsed:.1f} s")
        steps = DemoSteps(deployment, click.echo)
        try:
            steps.run()
        finally:
            steps.close()
        deployment.check()
    click.echo(f"done     {plan.name} in {time.monotonic() - started:.1f} s\n")
