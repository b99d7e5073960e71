"""Command that runs fault injection experiments."""

import dataclasses
import json
import pathlib
import sys
import tempfile

import click

from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.plans import PLANS
from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.faults import Experiment, ExperimentOptions, ExperimentReport

EXIT_VIOLATION = 1
EXIT_FAILED = 3
ADAPTERS_PER_SERVICE = 40


@click.command(name="faults")
@click.option("--deployment", "name", type=click.Choice(list(PLANS)), default="association")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--runs", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(5, 3600), default=60.0, show_default=True)
@click.option("--entries", type=click.IntRange(1, 4), default=2, show_default=True)
@click.option("--upstreams", type=click.IntRange(1, 6), default=3, show_default=True)
@click.option("--poison/--no-poison", default=True, show_default=True)
@click.option("--logs", type=click.Path(path_type=pathlib.Path), help="Directory for log files.")
@click.option(
    "--examples",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    default="examples",
    show_default=True,
)
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
def faults_command(
    name: str,
    seed: int,
    runs: int,
    seconds: float,
    entries: int,
    upstreams: int,
    poison: bool,
    logs: pathlib.Path | None,
    examples: pathlib.Path,
    output: pathlib.Path | None,
) -> None:
    """Inject seeded random faults into real processes and check every guarantee.

    Each run uses the next seed. Exit status: 0 if all guarantees held, 1 if one was violated, 3 if
    the deployment could not be started.
    """
    plan = PLANS[name].reduced(entries, upstreams, ADAPTERS_PER_SERVICE)
    reports: list[ExperimentReport] = []
    for run_seed in range(seed, seed + runs):
        options = ExperimentOptions(seed=run_seed, seconds=seconds, poison=poison)
        with tempfile.TemporaryDirectory(prefix="dragonflyhold-") as scratch:
            directory = (logs or pathlib.Path(scratch)) / f"{name}-{run_seed}"
            try:
                with Deployment(plan, examples, directory) as deployment:
                    deployment.start()
                    deployment.configure()
                    report = Experiment(deployment, options).run()
            except DragonflyholdError as error:
                click.echo(f"failed: {error}", err=True)
                sys.exit(EXIT_FAILED)
        _print_report(name, report)
        reports.append(report)
    if output is not None:
        data = [dataclasses.asdict(report) for report in reports]
        output.write_text(json.dumps(data, indent=2) + "\n", encoding="utf-8")
    sys.exit(0 if all(report.is_clean for report in reports) else EXIT_VIOLATION)


def _print_report(name: str, report: ExperimentReport) -> None:
    click.echo(f"{name} seed {report.seed}: {report.requests} requests {report.outcomes}")
    click.echo(f"  faults     {report.faults}")
    click.echo(f"  codes      {report.codes}")
    click.echo(f"  changes    {report.changes} accepted, {report.refused_changes} given up")
    click.echo(f"  no permit  {report.without_permit}")
    recovery = "not within the limit" if report.recovery_s is None else f"{report.recovery_s:.1f} s"
    click.echo(f"  recovery   {recovery}")
    for violation in report.violations:
        click.echo(f"  VIOLATION  {violation.promise}: {violation.text}")
