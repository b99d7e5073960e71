"""The state of an engine as its agent reports it to the gateways."""

from dragonflyhold.gateway.messages import EngineUpdate
from dragonflyhold.gateway.model import EngineReport, UpstreamId
from dragonflyhold.gateway.placement import EngineView, missing_adapters

# Maximum number of waiting adapters in an update.
MAX_REPORTED_BACKLOG = 24

UNKNOWN_ENGINE = EngineUpdate(
    start_time_ms=0,
    upstream_id=None,
    resident=[],
    loading=[],
    backlog=[],
    running=0,
    waiting=0,
    free_adapter_slots=0,
    has_model=False,
    is_draining=False,
    can_load=False,
)


def update_without_commands(report: EngineReport, upstream_id: UpstreamId | None) -> EngineUpdate:
    """Return the state of an engine to which no commands can be sent yet.

    Its resident adapters can be used.
    """
    return EngineUpdate(
        start_time_ms=report.start_time_ms,
        upstream_id=upstream_id,
        resident=sorted(report.adapters.items()),
        loading=[],
        backlog=[],
        running=report.running,
        waiting=report.waiting,
        free_adapter_slots=0,
        has_model=bool(report.models),
        is_draining=report.is_draining,
        can_load=False,
    )


def make_update(
    view: EngineView, adapter_slots: int, upstream_id: UpstreamId | None
) -> EngineUpdate:
    """Return the state of an engine; outdated adapters and those being unloaded get no requests."""
    report = view.report
    outdated = {key for key, version in report.adapters.items() if view.is_outdated(key, version)}
    unavailable = view.unloading | report.loading.keys() | outdated
    used_slots = sum(view.is_used(key) or key in unavailable for key in report.adapters)
    new_loads = sum(key not in report.adapters for key in report.loading)
    backlog = [total.key for total in missing_adapters(view)]
    return EngineUpdate(
        start_time_ms=report.start_time_ms,
        upstream_id=upstream_id,
        resident=sorted(
            (key, version) for key, version in report.adapters.items() if key not in unavailable
        ),
        loading=sorted(report.loading),
        backlog=backlog[:MAX_REPORTED_BACKLOG],
        running=report.running,
        waiting=report.waiting,
        free_adapter_slots=max(0, adapter_slots - used_slots - new_loads),
        has_model=bool(report.models),
        is_draining=report.is_draining,
        can_load=True,
    )
