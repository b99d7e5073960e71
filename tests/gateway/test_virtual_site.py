"""Tests of the whole path on a clock that jumps: outages, dark VMs, steps of the time of day."""

import asyncio
import time
from collections.abc import Iterator
from unittest import mock

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import VirtualLoop, run_virtual
from dragonflyhold.platform.standins.site import InProcessDeployment, configuration

CLIENT_IP = "10.7.0.1"
GATEWAY_IP = "10.1.0.1"


async def _start() -> tuple[InProcessDeployment, VirtualLoop]:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    site = InProcessDeployment()
    await create_task_on_vm("10.9.0.1", site.store.start())
    site.store.put("op", "config", configuration())
    for number in range(2):
        ip = f"10.2.0.{number + 1}"
        await create_task_on_vm(ip, site.add_engine(f"e{number}", host=ip))
    await create_task_on_vm(GATEWAY_IP, site.add_gateway(GATEWAY_IP))
    await site.wait_until_ready(2)
    return site, loop


class TestRecovery:
    """Pattern: node_cut, core_cut and power; a machine in touch again takes work at once."""

    def test_a_gateway_that_was_unreachable_accepts_new_connections(self) -> None:
        async def play() -> tuple[int, float]:
            site, loop = await _start()
            await create_task_on_vm(CLIENT_IP, site.call("/ask/1", adapter="a1"))
            loop.network.make_unreachable(GATEWAY_IP)
            await asyncio.sleep(30.0)
            loop.network.make_reachable(GATEWAY_IP)
            await asyncio.sleep(2.0)
            before = loop.time()
            answer = await create_task_on_vm(CLIENT_IP, site.call("/ask/2", adapter="a1"))
            await site.close()
            return answer.status, loop.time() - before

        status, elapsed = run_virtual(play())
        assert status == 200
        assert elapsed < 0.5

    def test_an_engine_that_was_unreachable_is_used_again(self) -> None:
        async def play() -> int:
            site, loop = await _start()
            unreachable = next(iter(site.upstreams.values()))
            loop.network.make_unreachable(unreachable.address.rpartition(":")[0])
            await asyncio.sleep(20.0)
            loop.network.make_reachable(unreachable.address.rpartition(":")[0])
            await asyncio.sleep(3.0)
            runs = len(unreachable.runs)
            for number in range(12):
                await create_task_on_vm(CLIENT_IP, site.call("/ask/1", adapter=f"a{number}"))
            await site.close()
            return len(unreachable.runs) - runs

        assert run_virtual(play()) > 0


class TestTimeOfDay:
    """Pattern: clock_step; nothing rests on the time of day."""

    def test_requests_go_on_while_it_jumps(self) -> None:
        def jumps() -> Iterator[float]:
            step = 0
            while True:
                step += 1
                yield 1.8e9 + (2400.0 if step % 3 else -2400.0) * step

        async def play() -> list[int]:
            site, _ = await _start()
            with mock.patch.object(time, "time", side_effect=jumps()):
                statuses = []
                for number in range(10):
                    call = site.call("/ask/1", adapter=f"a{number % 4}")
                    statuses.append((await create_task_on_vm(CLIENT_IP, call)).status)
                    await asyncio.sleep(1.0)
            await site.close()
            return statuses

        assert run_virtual(play()) == [200] * 10
