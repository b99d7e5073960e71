"""Short constructors for the entities of the serving path."""

from dragonflyhold.gateway.messages import AdapterDemand, EngineUpdate
from dragonflyhold.gateway.model import (
    Address,
    EngineReport,
    ModelAdapter,
    ModelName,
    RegistrationState,
    Upstream,
    UpstreamId,
)
from dragonflyhold.ids import AdapterName, DataCentre, ServiceName, Version

MODEL = ModelName("base")
SERVICE = ServiceName("assistant")


def adapter(number: int) -> ModelAdapter:
    return ModelAdapter(MODEL, AdapterName(f"a{number}"))


def upstream(
    number: int = 1,
    *,
    service: ServiceName = SERVICE,
    state: RegistrationState = RegistrationState.READY,
    start_time_ms: int = 1,
    slots: int = 64,
    data_centre: str = "dc-a",
) -> Upstream:
    return Upstream(
        upstream_id=UpstreamId(f"r{number}"),
        service=service,
        address=Address(f"10.0.0.{number}:80"),
        data_centre=DataCentre(data_centre),
        slots=slots,
        state=state,
        start_time_ms=start_time_ms,
        adapters={},
    )


def report(
    resident: dict[int, int] | None = None,
    loading: dict[int, int] | None = None,
    *,
    sequence: int = 0,
    start_time_ms: int = 1,
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
        loading={adapter(n): Version(v) for n, v in (loading or {}).items()},
        start_time_ms=start_time_ms,
    )


def demand(
    number: int,
    *,
    waiting: int = 0,
    running: int = 0,
    utility: float | None = None,
    version: int = 0,
    started: int = 0,
    slack_s: float = 10.0,
) -> AdapterDemand:
    return AdapterDemand(
        key=adapter(number),
        version=Version(version),
        waiting=waiting,
        utility=float(waiting) if utility is None else utility,
        running=running,
        started=started,
        slack_s=slack_s,
    )


def engine_update(
    resident: dict[int, int] | None = None,
    *,
    free_adapter_slots: int = 4,
    backlog: int = 0,
    running: int = 0,
    loading: dict[int, int] | None = None,
    has_model: bool = True,
    is_draining: bool = False,
    can_load: bool = True,
    start_time_ms: int = 1,
) -> EngineUpdate:
    return EngineUpdate(
        start_time_ms=start_time_ms,
        upstream_id=None,
        resident=[(adapter(n), Version(v)) for n, v in (resident or {}).items()],
        loading=[adapter(n) for n in loading or {}],
        backlog=[adapter(900 + n) for n in range(backlog)],
        running=running,
        waiting=0,
        free_adapter_slots=free_adapter_slots,
        has_model=has_model,
        is_draining=is_draining,
        can_load=can_load,
    )
