"""Command that benchmarks the serving path with a load generator."""

import dataclasses
import json
import pathlib
import tempfile

import click

from dragonflyhold.bench.load import LoadOptions
from dragonflyhold.bench.load_runs import measure
from dragonflyhold.demo.plans import PLANS


@click.command(name="load")
@click.option("--deployment", "name", type=click.Choice(list(PLANS)), default="association")
@click.option(
    "--examples",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    default="examples",
    show_default=True,
)
@click.option("--entries", default=1, show_default=True)
@click.option("--upstreams", default=1, show_default=True)
@click.option(
    "--tokens-per-s",
    default=100.0,
    show_default=True,
    help="Token rate of one stream alone on an engine.",
)
@click.option("--concurrency", default=32, show_default=True, help="Concurrent streams.")
@click.option("--seconds", default=10.0, show_default=True, help="Duration of each of the 4 runs.")
@click.option(
    "--max-requests",
    default=10_000,
    show_default=True,
    help="Maximum number of requests in each run.",
)
@click.option("--max-tokens", default=64, show_default=True)
@click.option(
    "--processes", default=2, show_default=True, help="Number of load generator processes."
)
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
def load_command(
    name: str,
    examples: pathlib.Path,
    entries: int,
    upstreams: int,
    tokens_per_s: float,
    concurrency: int,
    seconds: float,
    max_requests: int,
    max_tokens: int,
    processes: int,
    output: pathlib.Path | None,
) -> None:
    """Measure stand-in engines through entries and sidecars, and directly for comparison."""
    options = LoadOptions(
        targets=(),
        concurrency=concurrency,
        duration_s=seconds,
        max_requests=max_requests,
        max_tokens=max_tokens,
        processes=processes,
    )
    plan = PLANS[name].reduced(entries, upstreams, adapters=PLANS[name].slots)
    plan = dataclasses.replace(plan, tokens_per_s=tokens_per_s)
    with tempfile.TemporaryDirectory(prefix="dragonflyhold-") as scratch:
        figures = measure(plan, examples, pathlib.Path(scratch), options, click.echo)
    text = json.dumps(figures, indent=1)
    click.echo(text)
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(text + "\n", encoding="utf-8")
