"""Client of the platform's list of VMs."""

from collections.abc import Sequence
from typing import Any, final

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.ids import DataCentre, VmName
from dragonflyhold.settings import PlatformSettings
from dragonflyhold.storage.http import PlatformHttpClient, parse_json_response
from dragonflyhold.storage.interface import Vm, VmState


@final
class HttpVmList:
    """Implements ``VmList`` over HTTP; safe to use from any thread."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._client = PlatformHttpClient(settings.vm_list_url, settings)

    def list(self) -> Sequence[Vm]:
        """Return the VMs in the latest state that the platform knows."""
        vms = parse_json_response(self._client.send("GET", "/v1/vms"), "VM list").get("vms")
        if not isinstance(vms, list):
            raise PlatformUnavailableError("platform: VM list: no list of VMs")
        return [_parse_vm(fields) for fields in vms]


def _parse_vm(fields: Any) -> Vm:
    try:
        return Vm(
            name=VmName(str(fields["name"])),
            address=str(fields["address"]),
            data_centre=DataCentre(str(fields["data_centre"])),
            state=VmState(fields["state"]),
            upstream=str(fields.get("upstream") or ""),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailableError(f"platform: a VM is not valid: {error!r}") from error
