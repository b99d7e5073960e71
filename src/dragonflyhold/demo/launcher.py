"""Starts a deployment: stand-ins, entries and sidecars, each in its own process."""

import dataclasses
import pathlib
import time
from collections.abc import Mapping
from typing import Any, final

import urllib3

from dragonflyhold.demo.operations import OperatorClient, adapter_changes, base_operations
from dragonflyhold.demo.plans import DeploymentPlan, UpstreamPlan
from dragonflyhold.demo.processes import (
    POLL_S,
    DeploymentError,
    ManagedProcess,
    ProcessGroup,
    wait_until,
)
from dragonflyhold.demo.settings_files import derive_settings
from dragonflyhold.standins.ports import free_address
from dragonflyhold.states import ServiceType

START_TIMEOUT_S = 60.0
HTTP_TIMEOUT_S = 5.0
RESTART_TIMEOUT_S = 10.0
BALANCER_LAG_S = 0.2
PLATFORM_NAMES = ("table", "objects", "vms", "weights")


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StandInProcess:
    """A stand-in running as a process."""

    url: str
    process: ManagedProcess


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EntryProcess:
    """A running entry daemon."""

    url: str
    grpc_address: str
    data_centre: str
    process: ManagedProcess


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SidecarProcess:
    """A running sidecar daemon with its upstream stand-in."""

    plan: UpstreamPlan
    grpc_address: str
    http_url: str
    upstream: StandInProcess
    process: ManagedProcess


@final
class Deployment:
    """The running processes of a plan; use as a context manager or call ``stop``.

    ``entry_settings`` and ``sidecar_settings`` override settings of all daemons of a kind; their
    keys are dotted paths.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        examples: pathlib.Path,
        directory: pathlib.Path,
        entry_settings: Mapping[str, object] | None = None,
        sidecar_settings: Mapping[str, object] | None = None,
    ) -> None:
        self.plan = plan
        self.platform: dict[str, StandInProcess] = {}
        self.entries: list[EntryProcess] = []
        self.sidecars: dict[str, SidecarProcess] = {}
        self._upstreams: dict[str, StandInProcess] = {}
        self._examples = examples / plan.name
        self._directory = directory
        self._entry_settings = dict(entry_settings or {})
        self._sidecar_settings = dict(sidecar_settings or {})
        self._process_group = ProcessGroup(directory)
        self._http = urllib3.PoolManager(retries=False, timeout=HTTP_TIMEOUT_S)
        # Chosen before the start, because all daemons use the entries as seeds.
        self._entry_addresses = [free_address() for _ in range(plan.entries)]

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes and wait until they respond."""
        self.start_stand_ins()
        self.start_daemons()

    def start_stand_ins(self) -> None:
        """Start the platform and upstream stand-ins and wait until they respond."""
        self._directory.mkdir(parents=True, exist_ok=True)
        for name in PLATFORM_NAMES:
            options = []
            if name == "weights":
                options = ["--loads-per-s", str(self.plan.loads_per_s)]
            self.platform[name] = self._start_stand_in(name, name, options)
        self._upstreams = {
            upstream.name: self._start_upstream(upstream) for upstream in self.plan.upstreams()
        }
        stand_ins = [*self.platform.values(), *self._upstreams.values()]
        for stand_in in stand_ins:
            self._wait_for_response(stand_in.process, f"{stand_in.url}/control", "POST")

    def start_daemons(self) -> None:
        """Start the entries and sidecars and wait until they respond."""
        for index in range(self.plan.entries):
            self.entries.append(self._start_entry(index))
        for upstream in self.plan.upstreams():
            self.sidecars[upstream.name] = self._start_sidecar(upstream)
        self._set_vm_list()
        for entry in self.entries:
            self._wait_for_response(entry.process, f"{entry.url}/healthz")
        for sidecar in self.sidecars.values():
            self._wait_for_response(sidecar.process, f"{sidecar.http_url}/healthz")

    def configure(self) -> int:
        """Apply the plan's configuration, wait until it is in force and return its revision."""
        operator = OperatorClient(self.entries[0].grpc_address)
        try:
            addresses = {name: sidecar.grpc_address for name, sidecar in self.sidecars.items()}
            revision = operator.apply(base_operations(self.plan, addresses))
            for operations in adapter_changes(self.plan):
                revision = operator.apply(operations)
            operator.wait_in_force(revision)
        finally:
            operator.close()
        for entry in self.entries:
            self._wait_for_response(entry.process, f"{entry.url}/readyz")
        return revision

    def stop(self) -> None:
        """Stop all processes."""
        self._process_group.stop()
        self._http.clear()

    def log_tails(self) -> str:
        """Return the end of the log file of each process."""
        return self._process_group.log_tails()

    def check(self) -> None:
        """Raise ``DeploymentError`` if a process has ended."""
        self._process_group.check()

    def set_fault(self, name: str, **faults: object) -> Any:
        """Set faults of the platform stand-in or upstream ``name``."""
        stand_in = self.platform.get(name) or self._upstreams[name]
        return self._call_stand_in("POST", f"{stand_in.url}/control", faults)

    def upstream_journal(self, name: str) -> Any:
        """Return the journal of the upstream ``name``."""
        return self._call_stand_in("GET", f"{self._upstreams[name].url}/v1/journal", {})

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the settings file of a daemon."""
        return self._directory / f"{name}.json"

    def _call_stand_in(self, method: str, url: str, data: Mapping[str, object]) -> Any:
        """Call a stand-in; retry while it refuses connections, as a restarting engine does."""
        deadline = time.monotonic() + RESTART_TIMEOUT_S
        while True:
            try:
                return self._http.request(method, url, json=data).json()
            except urllib3.exceptions.NewConnectionError:
                if time.monotonic() >= deadline:
                    raise
                time.sleep(POLL_S)

    def _start_stand_in(self, name: str, kind: str, options: list[str]) -> StandInProcess:
        address = free_address()
        process = self._process_group.add(name, ["standin", kind, "--address", address, *options])
        return StandInProcess(f"http://{address}", process)

    def _start_upstream(self, upstream: UpstreamPlan) -> StandInProcess:
        name = f"upstream-{upstream.name}"
        if upstream.service.type is ServiceType.PLAIN:
            return self._start_stand_in(name, "plain", [])
        options = ["--weights-url", self.platform["weights"].url]
        options += ["--slots", str(self.plan.slots), "--batch-limit", str(self.plan.batch_limit)]
        options += ["--tokens-per-s", str(self.plan.tokens_per_s)]
        if upstream.service.checks_fencing:
            options.append("--checks-fencing")
        return self._start_stand_in(name, "engine", options)

    def _start_entry(self, index: int) -> EntryProcess:
        name = f"entry-{index + 1}"
        http_address = free_address()
        grpc_address = self._entry_addresses[index]
        data_centre = self.plan.data_centres[index % len(self.plan.data_centres)]
        changes = {
            **self._common_settings(name, data_centre),
            "grpc_address": grpc_address,
            "http.address": http_address,
            # There is no load balancer that must detect that the entry is stopping.
            "balancer_lag_s": BALANCER_LAG_S,
            **self._entry_settings,
        }
        derive_settings(self._examples / "entry.json", self.settings_path(name), changes)
        process = self._process_group.add(name, ["run", "entry", str(self.settings_path(name))])
        return EntryProcess(f"http://{http_address}", grpc_address, data_centre, process)

    def _start_sidecar(self, upstream: UpstreamPlan) -> SidecarProcess:
        name = f"sidecar-{upstream.name}"
        grpc_address, http_address = free_address(), free_address()
        stand_in = self._upstreams[upstream.name]
        changes = {
            **self._common_settings(name, upstream.data_centre),
            "grpc_address": grpc_address,
            "http_address": http_address,
            "upstream.name": upstream.name,
            "upstream.type": upstream.service.type.value,
            "upstream.url": stand_in.url,
            "load_budget.loads_per_s": self.plan.loads_per_s,
            **self._sidecar_settings,
        }
        derive_settings(self._examples / "sidecar.json", self.settings_path(name), changes)
        process = self._process_group.add(name, ["run", "sidecar", str(self.settings_path(name))])
        return SidecarProcess(upstream, grpc_address, f"http://{http_address}", stand_in, process)

    def _common_settings(self, name: str, data_centre: str) -> dict[str, object]:
        return {
            "name": name,
            "region": self.plan.region,
            "data_centre": data_centre,
            "platform.table_url": self.platform["table"].url,
            "platform.object_store_url": self.platform["objects"].url,
            "platform.vm_list_url": self.platform["vms"].url,
            "config.seeds": self._entry_addresses,
        }

    def _set_vm_list(self) -> None:
        vm_rows = [(f"vm-entry-{i + 1}", e.data_centre, "") for i, e in enumerate(self.entries)]
        vm_rows += [
            (f"vm-{name}", sidecar.plan.data_centre, name)
            for name, sidecar in self.sidecars.items()
        ]
        vms = [
            {
                "name": name,
                "address": "127.0.0.1",
                "data_centre": data_centre,
                "state": "live",
                "upstream": upstream,
            }
            for name, data_centre, upstream in vm_rows
        ]
        self.set_fault("vms", vms=vms)

    def _wait_for_response(self, process: ManagedProcess, url: str, method: str = "GET") -> None:
        def has_responded() -> bool:
            if not process.is_running:
                text = process.log_tail()
                raise DeploymentError(
                    f"{process.name} ended with status {process.exit_status}:\n{text}"
                )
            try:
                return self._http.request(method, url).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(f"a response from {process.name} at {url}", has_responded, START_TIMEOUT_S)
