"""Command that compares policies on a simulated deployment."""

import json
import pathlib

import click

from dragonflyhold.bench.site_report import (
    BASELINE,
    UPPER_BOUND,
    Policy,
    format_sweep,
    parse_policies,
    plot_sweep,
    sweep,
)
from dragonflyhold.bench.site_workloads import DEPLOYMENTS, Cell, Pattern


@click.command(name="site")
@click.option("--site", "sites", multiple=True, type=click.Choice(list(DEPLOYMENTS)))
@click.option(
    "--pattern",
    "patterns",
    multiple=True,
    type=click.Choice([pattern.value for pattern in Pattern]),
)
@click.option(
    "--level",
    "levels",
    multiple=True,
    type=float,
    default=(1.0,),
    help="Factor on the request rate.",
)
@click.option("--seeds", type=click.IntRange(1, 100), default=2, show_default=True)
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option(
    "--vary",
    "variations",
    multiple=True,
    help="Values to try for a policy constant, such as placement.PLACE_USE_S=0.2,0.8.",
)
@click.option(
    "--bound",
    is_flag=True,
    help="Also simulate an upper bound with every adapter loaded on every engine.",
)
@click.option("--processes", type=click.IntRange(1, 64), default=3, show_default=True)
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
@click.option("--plot", "plot_path", type=click.Path(path_type=pathlib.Path))
def site_command(
    sites: tuple[str, ...],
    patterns: tuple[str, ...],
    levels: tuple[float, ...],
    seeds: int,
    first_seed: int,
    variations: tuple[str, ...],
    bound: bool,
    processes: int,
    output: pathlib.Path | None,
    plot_path: pathlib.Path | None,
) -> None:
    """Simulate whole deployments on a virtual clock and network and compare policies."""
    policies = [Policy(BASELINE)]
    for text in variations:
        policies.extend(parse_policies(text))
    if bound:
        policies.append(Policy(UPPER_BOUND))
    cells = [
        Cell(site, pattern, level, seed)
        for site in sites or tuple(DEPLOYMENTS)
        for pattern in [Pattern(name) for name in patterns] or list(Pattern)
        for level in levels
        for seed in range(first_seed, first_seed + seeds)
    ]
    results = sweep(cells, policies, processes)
    click.echo(format_sweep(results))
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(json.dumps(results, indent=1), encoding="utf-8")
    if plot_path is not None:
        plot_path.parent.mkdir(parents=True, exist_ok=True)
        plot_sweep(results, plot_path)
