"""Commands that benchmark routing policies, capacity and the serving path."""

import json
import pathlib

import click

from dragonflyhold.bench import capacity as capacity_bench
from dragonflyhold.bench import capacity_roles, policy_report
from dragonflyhold.bench import control as control_bench
from dragonflyhold.bench import policy as policy_bench
from dragonflyhold.bench.policy_baselines import POLICY_NAMES
from dragonflyhold.bench.policy_workloads import DEPLOYMENTS, Disturbance
from dragonflyhold.cli.bench_load import load_command
from dragonflyhold.cli.bench_site import site_command


@click.group(name="bench")
def bench_group() -> None:
    """Run benchmarks of policies, capacity and the serving path."""


@bench_group.command()
@click.option("--deployment", "deployments", multiple=True, type=click.Choice(list(DEPLOYMENTS)))
@click.option(
    "--disturbance",
    "disturbances",
    multiple=True,
    type=click.Choice([disturbance.value for disturbance in Disturbance]),
)
@click.option("--level", "levels", multiple=True, type=float, default=policy_bench.LEVELS)
@click.option("--zipf", "zipfs", multiple=True, type=float, default=policy_bench.ZIPFS)
@click.option("--seeds", type=click.IntRange(1, 100), default=2, show_default=True)
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option("--policy", "policies", multiple=True, default=POLICY_NAMES)
@click.option("--processes", type=click.IntRange(1, 64), default=3, show_default=True)
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
@click.option("--plot", "plot_path", type=click.Path(path_type=pathlib.Path))
def policy(
    deployments: tuple[str, ...],
    disturbances: tuple[str, ...],
    levels: tuple[float, ...],
    zipfs: tuple[float, ...],
    seeds: int,
    first_seed: int,
    policies: tuple[str, ...],
    processes: int,
    output: pathlib.Path | None,
    plot_path: pathlib.Path | None,
) -> None:
    """Simulate policies against models of engines and the weight store."""
    cells = list(
        policy_bench.make_cells(
            deployments or tuple(DEPLOYMENTS),
            [Disturbance(name) for name in disturbances] or list(Disturbance),
            levels,
            zipfs,
            range(first_seed, first_seed + seeds),
        )
    )
    results = policy_bench.run_cells(cells, policies, processes)
    click.echo(policy_report.format_table(results))
    data = {"seeds": seeds, "first_seed": first_seed, "results": results}
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    if plot_path is not None:
        policy_report.plot_results(results, plot_path)


@bench_group.command()
@click.argument("old", type=click.Path(path_type=pathlib.Path, exists=True))
@click.argument("new", type=click.Path(path_type=pathlib.Path, exists=True))
@click.option("--policy", "policy_name", default="product", show_default=True)
def compare(old: pathlib.Path, new: pathlib.Path, policy_name: str) -> None:
    """Compare the results of one policy in two output files."""
    click.echo(
        policy_report.compare_results(
            policy_report.load_results(old), policy_report.load_results(new), policy_name
        )
    )


bench_group.add_command(load_command)
bench_group.add_command(site_command)


@bench_group.command()
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
def capacity(output: pathlib.Path | None) -> None:
    """Measure memory, time and bytes per item; estimate each role's cost at the target size."""
    series = capacity_bench.measure_all()
    click.echo(capacity_bench.format_series(series))
    click.echo()
    click.echo(capacity_roles.format_roles(capacity_roles.estimate_roles(series)))
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        text = json.dumps(capacity_bench.to_json(series), indent=1)
        output.write_text(text + "\n", encoding="utf-8")


@bench_group.command()
@click.option("--repeats", type=click.IntRange(10, 1_000_000), default=2000, show_default=True)
def control(repeats: int) -> None:
    """Measure control messages and decisions by the number of upstreams and gateways."""
    click.echo(control_bench.format_costs(control_bench.measure_all(repeats)))
