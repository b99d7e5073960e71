"""Commands that run stand-ins for external services as processes."""

import signal

import click

from dragonflyhold.standins import (
    EngineOptions,
    EngineStandIn,
    ObjectStoreStandIn,
    PlainServiceStandIn,
    StandIn,
    TableStandIn,
    VmListStandIn,
    WeightStoreStandIn,
)

_address = click.option("--address", default="127.0.0.1:0", help="host:port to listen on.")


@click.group(name="standin")
def standin_group() -> None:
    """Run a stand-in for a platform service or an upstream, for tests and demos."""


@standin_group.command()
@_address
@click.option("--writes-per-s", default=400.0, help="Row writes per second.")
@click.option("--reads-per-s", default=2000.0, help="Reads per second.")
def table(address: str, writes_per_s: float, reads_per_s: float) -> None:
    """Run a transactional table."""
    _serve(TableStandIn(address, writes_per_s, reads_per_s))


@standin_group.command()
@_address
def objects(address: str) -> None:
    """Run an object store."""
    _serve(ObjectStoreStandIn(address))


@standin_group.command()
@_address
@click.option("--lag-s", default=0.0, help="Age of the list that is returned, in seconds.")
def vms(address: str, lag_s: float) -> None:
    """Run a VM list service."""
    _serve(VmListStandIn(address, lag_s))


@standin_group.command()
@_address
@click.option("--loads-per-s", default=6.0, help="Loads per second.")
def weights(address: str, loads_per_s: float) -> None:
    """Run a weight store."""
    _serve(WeightStoreStandIn(address, loads_per_s))


@standin_group.command()
@_address
@click.option(
    "--weights-url", default="", help="URL of a weight store; if empty, loads take 0.25 s."
)
@click.option("--slots", default=8, help="Adapter slots.")
@click.option("--batch-limit", default=32, help="Maximum number of requests in the batch.")
@click.option("--checks-fencing", is_flag=True, help="Refuse commands with an outdated epoch.")
@click.option(
    "--tokens-per-s", default=100.0, help="Token rate of a stream that is alone in the batch."
)
@click.option("--restart-s", default=1.0, help="Time from a crash to the restart, in seconds.")
def engine(
    address: str,
    weights_url: str,
    slots: int,
    batch_limit: int,
    checks_fencing: bool,
    tokens_per_s: float,
    restart_s: float,
) -> None:
    """Run a model engine."""
    options = EngineOptions(
        weights_url=weights_url,
        slots=slots,
        batch_limit=batch_limit,
        checks_fencing=checks_fencing,
        tokens_per_s=tokens_per_s,
        restart_s=restart_s,
    )
    _serve(EngineStandIn(address, options))


@standin_group.command()
@_address
def plain(address: str) -> None:
    """Run a plain service."""
    _serve(PlainServiceStandIn(address))


def _serve(stand_in: StandIn) -> None:
    # Blocked before any thread starts: a signal delivered to another thread would not wake the
    # main thread.
    end_signals = (signal.SIGTERM, signal.SIGINT)
    signal.pthread_sigmask(signal.SIG_BLOCK, end_signals)
    stand_in.start()
    click.echo(f"{stand_in.name} listens on {stand_in.url}")
    signal.sigwait(end_signals)
    stand_in.stop()
