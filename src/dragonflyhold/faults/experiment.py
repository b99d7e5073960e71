"""Runs an experiment: traffic, operators and faults against a deployment, checked by the oracle."""

import collections
import dataclasses
import random
import threading
import time
from collections.abc import Iterator, Mapping
from typing import Any, final

import grpc

from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.operations import weights_path
from dragonflyhold.demo.plans import ServicePlan
from dragonflyhold.faults.callers import CallerThreads, ExperimentCaller, RequestPlan
from dragonflyhold.faults.injector import FaultInjector
from dragonflyhold.faults.operators import OperatorThreads
from dragonflyhold.faults.oracle import CallerRecord, Evidence, Violation, find_violations
from dragonflyhold.faults.schedule import Targets, TimedFault, draw_schedule
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.settings import TlsSettings
from dragonflyhold.states import Outcome, ServiceType
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc

# Normal service must be restored within this time after the last fault.
RECOVERY_TIMEOUT_S = 30.0
# Consecutive requests per service that must succeed at the first attempt to count as recovered.
ANSWERS_FOR_RECOVERY = 5
# Period at which the configuration revisions of the daemons are recorded.
REVISION_PERIOD_S = 1.0
LIST_TIMEOUT_S = 10.0
# Share of requests whose prompt crashes the engine that runs them.
POISON_SHARE = 0.01
POISON_PROMPTS_PER_SERVICE = 2
PLAIN_REQUEST_SHARE = 0.15
PERMIT_REQUEST_SHARE = 0.3
CHANGED_ADAPTERS_PER_SERVICE = 4
# Exponent of the Zipf distribution of adapter popularity.
ZIPF_EXPONENT = 1.0

_logger = ComponentLogger("faults")


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExperimentOptions:
    """Parameters of an experiment."""

    seed: int
    seconds: float
    callers: int = 12
    poison: bool = True


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExperimentReport:
    """Results of an experiment."""

    seed: int
    requests: int
    outcomes: dict[str, int]
    codes: dict[str, int]
    faults: dict[str, int]
    changes: int
    refused_changes: int
    without_permit: int
    overdue_stops: list[str]
    # Seconds from the end of the last fault to normal service; ``None`` if not restored in time.
    recovery_s: float | None
    violations: list[Violation]

    @property
    def is_clean(self) -> bool:
        """Whether no guarantee was violated and the deployment recovered."""
        return not self.violations and self.recovery_s is not None


@final
class Experiment:
    """One experiment against a configured deployment."""

    def __init__(self, deployment: Deployment, options: ExperimentOptions) -> None:
        self._deployment = deployment
        self._options = options
        plan = deployment.plan
        self._engine_services = [s for s in plan.services if s.type is ServiceType.ENGINE]
        self._plain_services = [s for s in plan.services if s.type is ServiceType.PLAIN]
        changed_adapters = [
            (service.name, name)
            for service in self._engine_services
            for name in service.adapter_names()[:CHANGED_ADAPTERS_PER_SERVICE]
        ]
        addresses = [entry.grpc_address for entry in deployment.entries]
        self._operators = OperatorThreads(addresses, changed_adapters, options.seed)
        self._poison_prompts: list[str] = []

    def run(self) -> ExperimentReport:
        """Run the experiment and check its results."""
        options, deployment = self._options, self._deployment
        schedule = draw_schedule(options.seed, options.seconds, self._targets())
        urls = [entry.url for entry in deployment.entries]
        callers = CallerThreads(options.callers, urls, options.seed, self._make_plan)
        injector = FaultInjector(deployment)
        revision_recorder = _RevisionRecorder([entry.grpc_address for entry in deployment.entries])
        callers.start()
        self._operators.start()
        revision_recorder.start()
        injector.run(schedule)
        recovery_s = self._measure_recovery(urls)
        have_callers_ended = callers.stop()
        self._operators.stop()
        revision_recorder.stop()
        violations = find_violations(self._collect(callers.records, injector, revision_recorder))
        if not have_callers_ended:
            violations.append(Violation("typed error", "a caller was still waiting for an answer"))
        violations += [
            Violation("graceful shutdown", f"{name} did not end in time")
            for name in injector.overdue_stops
        ]
        return self._report(callers, injector, schedule, recovery_s, violations)

    def _targets(self) -> Targets:
        deployment = self._deployment
        plain_names = {service.name for service in self._plain_services}
        upstreams = list(deployment.plan.upstreams())
        return Targets(
            [entry.process.name for entry in deployment.entries],
            [f"sidecar-{upstream.name}" for upstream in upstreams],
            [upstream.name for upstream in upstreams if upstream.service.name not in plain_names],
            [upstream.name for upstream in upstreams if upstream.service.name in plain_names],
        )

    def _make_plan(self, rng: random.Random, number: int) -> RequestPlan:
        if self._plain_services and rng.random() < PLAIN_REQUEST_SHARE:
            return self._plain_plan(rng.choice(self._plain_services), number)
        service = rng.choice(self._engine_services)
        idempotent = rng.random() >= PERMIT_REQUEST_SHARE
        kinds = [kind for kind in service.kinds if kind.idempotent is idempotent and not kind.batch]
        kind = rng.choice(kinds or [kind for kind in service.kinds if kind.idempotent])
        adapter = self._draw_adapter(rng, service)
        version = self._operators.version_table.current.get((service.name, adapter), 1)
        prompt = f"request {number}"
        is_poison = self._options.poison and kind.idempotent and rng.random() < POISON_SHARE
        if is_poison:
            # Always the same adapter and version, because the request's fingerprint covers them.
            adapter, version = service.adapter_names()[-1], 1
            prompt = f"[[crash:2]] of {service.name} {rng.randrange(POISON_PROMPTS_PER_SERVICE)}"
            if prompt not in self._poison_prompts:
                self._poison_prompts.append(prompt)
        return RequestPlan(
            service=service.name,
            adapter=adapter,
            version=version,
            weights=weights_path(service.name, adapter, version),
            kind=kind.name,
            idempotent=kind.idempotent,
            prompt=prompt,
            max_tokens=8 if is_poison else rng.choice([4, 16, 60]),
            stream=not is_poison and rng.random() < 0.5,
        )

    def _plain_plan(self, service: ServicePlan, number: int) -> RequestPlan:
        kind = next(kind for kind in service.kinds if not kind.idempotent)
        return RequestPlan(
            service=service.name,
            adapter="",
            version=0,
            weights="",
            kind=kind.name,
            idempotent=False,
            prompt=f"request {number}",
            max_tokens=0,
            stream=False,
        )

    def _draw_adapter(self, rng: random.Random, service: ServicePlan) -> str:
        names = service.adapter_names()
        weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(len(names))]
        return rng.choices(names, weights)[0]

    def _measure_recovery(self, urls: list[str]) -> float | None:
        """Return the time until every engine service answers reliably; ``None`` on a timeout."""
        started = time.monotonic()
        rng = random.Random(self._options.seed)
        caller = ExperimentCaller("recovery", urls, rng)
        for service in self._engine_services:
            answers = 0
            while answers < ANSWERS_FOR_RECOVERY:
                if time.monotonic() - started > RECOVERY_TIMEOUT_S:
                    return None
                adapter = service.adapter_names()[-2]
                kind = next(kind for kind in service.kinds if kind.idempotent)
                record = caller.send(
                    RequestPlan(
                        service=service.name,
                        adapter=adapter,
                        version=1,
                        weights=weights_path(service.name, adapter, 1),
                        kind=kind.name,
                        idempotent=True,
                        prompt=f"recovery {service.name} {time.monotonic_ns()}",
                        max_tokens=4,
                        stream=False,
                    )
                )
                is_answered_at_once = record is not None and record.outcomes == (Outcome.OK,)
                answers = answers + 1 if is_answered_at_once else 0
        return time.monotonic() - started

    def _collect(
        self,
        records: list[CallerRecord],
        injector: FaultInjector,
        revision_recorder: "_RevisionRecorder",
    ) -> Evidence:
        deployment = self._deployment
        plain_names = {service.name for service in self._plain_services}
        engine_journals: dict[str, Mapping[str, Any]] = {}
        plain_journals: dict[str, Mapping[str, Any]] = {}
        for upstream in deployment.plan.upstreams():
            target = plain_journals if upstream.service.name in plain_names else engine_journals
            target[upstream.name] = deployment.upstream_journal(upstream.name)
        return Evidence(
            records=records,
            engine_journals=engine_journals,
            plain_journals=plain_journals,
            changes=self._operators.version_table.changes,
            final_versions=self._final_versions(),
            stops=injector.stops,
            revisions=revision_recorder.revisions,
            poison_prompts=self._poison_prompts,
        )

    def _final_versions(self) -> dict[tuple[str, str], frozenset[int]]:
        versions: dict[tuple[str, str], set[int]] = collections.defaultdict(set)
        channel = make_channel(self._deployment.entries[0].grpc_address, TlsSettings())
        stub = operator_pb2_grpc.OperatorStub(channel)
        for item in _list_versions(stub):
            versions[item.version.service, item.version.adapter].add(item.version.version)
        channel.close()
        return {key: frozenset(found) for key, found in versions.items()}

    def _report(
        self,
        callers: CallerThreads,
        injector: FaultInjector,
        schedule: list[TimedFault],
        recovery_s: float | None,
        violations: list[Violation],
    ) -> ExperimentReport:
        records = callers.records
        return ExperimentReport(
            seed=self._options.seed,
            requests=len(records),
            outcomes=dict(collections.Counter(r.outcomes[-1].value for r in records)),
            codes=dict(collections.Counter(code for r in records for code in r.codes if code)),
            faults=dict(collections.Counter(type(t.fault).__name__ for t in schedule)),
            changes=len(self._operators.version_table.changes) - self._operators.failed_changes,
            refused_changes=self._operators.failed_changes,
            without_permit=callers.without_permit,
            overdue_stops=injector.overdue_stops,
            recovery_s=recovery_s,
            violations=violations,
        )


def _list_versions(stub: operator_pb2_grpc.OperatorStub) -> Iterator[pb.ConfigObject]:
    request = pb.ListObjectsRequest(type="version", limit=1000)
    while True:
        reply = stub.ListObjects(request, timeout=LIST_TIMEOUT_S)
        yield from reply.objects
        if not reply.next_page_token:
            return
        request.page_token = reply.next_page_token


@final
class _RevisionRecorder:
    """Records the revisions of each daemon incarnation, which must never decrease."""

    def __init__(self, addresses: list[str]) -> None:
        self.revisions: dict[str, list[int]] = collections.defaultdict(list)
        self._addresses = addresses
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        channels = [make_channel(address, TlsSettings()) for address in self._addresses]
        stubs = [operator_pb2_grpc.OperatorStub(channel) for channel in channels]
        while not self._stopping.wait(REVISION_PERIOD_S):
            for stub in stubs:
                try:
                    status = stub.Status(pb.StatusRequest(), timeout=REVISION_PERIOD_S)
                except grpc.RpcError:
                    continue
                incarnation = f"{status.daemon}.{status.incarnation}"
                self.revisions[incarnation].append(status.config_revision)
        for channel in channels:
            channel.close()
