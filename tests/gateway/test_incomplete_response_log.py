"""Tests of the log lines of responses that their clients did not get whole, in virtual time."""

import asyncio
from typing import Any

import pytest

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.platform.standins.runner import Fault
from dragonflyhold.platform.standins.site import InProcessDeployment, configuration

CLIENT_IP, GATEWAY_IP, ENGINE_IP = "10.7.0.1", "10.1.0.1", "10.2.0.1"
TIME_LIMIT_MS = 6000
PATIENCE_S = 2.0


class TestIncompleteResponseLog:
    """Lines that don't tell a client's patience from its time limit."""

    @pytest.mark.parametrize("fault", [Fault.HANG, Fault.HANG_MIDWAY])
    def test_the_line_has_the_time_limit_and_the_time_since_the_send(self, fault: Fault) -> None:
        """Guards against ends that can't be traced if the line of the admission was left out."""

        async def scenario() -> dict[str, Any]:
            fields = configuration(timeout_ms=TIME_LIMIT_MS, max_attempts=1)
            deployment = InProcessDeployment()
            await create_task_on_vm("10.9.0.1", deployment.store.start())
            deployment.store.put("op", "config", fields)
            engine = await create_task_on_vm(ENGINE_IP, deployment.add_engine("e0", host=ENGINE_IP))
            daemon = await create_task_on_vm(GATEWAY_IP, deployment.add_gateway(GATEWAY_IP))
            await deployment.wait_until_ready(1)
            lines: list[dict[str, Any]] = []
            log = daemon.gateway.request_log
            log.loss = lambda event, **fields: lines.append(fields)  # type: ignore[method-assign]
            engine.faults.append(fault)
            headers = {"Deadline-Remaining": str(TIME_LIMIT_MS)}
            call = deployment.call("/ask/1", adapter="a1", headers=headers, timeout_s=PATIENCE_S)
            with pytest.raises(TimeoutError):
                await create_task_on_vm(CLIENT_IP, call)
            await asyncio.sleep(0.5)
            await deployment.close()
            (line,) = lines
            return line

        line = run_virtual(scenario())
        assert line["outcome"] == "client_left"
        assert line["limit_ms"] == TIME_LIMIT_MS
        assert line["total_ms"] == pytest.approx(PATIENCE_S * 1000, abs=50)
        assert 0 < line["sent_ms"] <= line["total_ms"]
