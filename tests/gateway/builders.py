"""Short constructors for the entities of the serving path."""

from dragonflyhold.gateway.messages import AdapterDemand, EngineUpdate
from dragonflyhold.gateway.model import (
    Address,
    EngineReport,
    ModelAdapter,
    ModelName,
    Runner,
    RunnerId,
    RunnerState,
)
from dragonflyhold.ids import AdapterName, DataCentre, ServiceName, Version

MODEL = ModelName("base")
SERVICE = ServiceName("assistant")


def adapter(number: int) -> ModelAdapter:
    return ModelAdapter(MODEL, AdapterName(f"a{number}"))


def runner(
    number: int = 1,
    *,
    service: ServiceName = SERVICE,
    state: RunnerState = RunnerState.READY,
    born: int = 1,
    slots: int = 64,
    data_centre: str = "dc-a",
) -> Runner:
    return Runner(
        runner_id=RunnerId(f"r{number}"),
        service=service,
        address=Address(f"10.0.0.{number}:80"),
        data_centre=DataCentre(data_centre),
        slots=slots,
        state=state,
        born=born,
        adapters={},
    )


def report(
    resident: dict[int, int] | None = None,
    coming: dict[int, int] | None = None,
    *,
    sequence: int = 0,
    born: int = 1,
    models: tuple[ModelName, ...] = (MODEL,),
) -> EngineReport:
    return EngineReport(
        busy=False,
        sequence=sequence,
        running=0,
        waiting=0,
        models=frozenset(models),
        adapters={adapter(n): Version(v) for n, v in (resident or {}).items()},
        is_draining=False,
        coming={adapter(n): Version(v) for n, v in (coming or {}).items()},
        born=born,
    )


def demand(
    number: int,
    *,
    waiting: int = 0,
    running: int = 0,
    worth: float | None = None,
    version: int = 0,
    started: int = 0,
    slack_s: float = 10.0,
) -> AdapterDemand:
    return AdapterDemand(
        key=adapter(number),
        version=Version(version),
        waiting=waiting,
        worth=float(waiting) if worth is None else worth,
        running=running,
        started=started,
        slack_s=slack_s,
    )


def engine_update(
    resident: dict[int, int] | None = None,
    *,
    free_places: int = 4,
    backlog: int = 0,
    running: int = 0,
    coming: dict[int, int] | None = None,
    has_model: bool = True,
    is_draining: bool = False,
    can_load: bool = True,
    born: int = 1,
) -> EngineUpdate:
    return EngineUpdate(
        born=born,
        runner_id=None,
        resident=[(adapter(n), Version(v)) for n, v in (resident or {}).items()],
        coming=[adapter(n) for n in coming or {}],
        backlog=[adapter(900 + n) for n in range(backlog)],
        running=running,
        waiting=0,
        free_places=free_places,
        has_model=has_model,
        is_draining=is_draining,
        can_load=can_load,
    )
