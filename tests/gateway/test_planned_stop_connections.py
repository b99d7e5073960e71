"""End-to-end tests in virtual time of clients' connections to a gateway that stops."""

import asyncio

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, configuration

CLIENT_IP, GATEWAY_IP, ENGINE_IP, STORE_IP = "10.7.0.1", "10.1.0.1", "10.2.0.1", "10.9.0.1"
TIME_LIMIT_MS = 6000
EVENTS, EVENT_INTERVAL_S = 20, 0.2


class TestKeptConnectionsAtAPlannedStop:
    """Requests that cross the close of a connection that was in use until then."""

    def test_a_connection_stays_open_for_a_moment_after_a_response_that_keeps_it(self) -> None:
        """Guards against whole requests that get neither an answer nor a refusal (LOST)."""

        async def scenario() -> tuple[Answer, Answer]:
            deployment = InProcessDeployment()
            await create_task_on_vm(STORE_IP, deployment.store.start())
            deployment.store.put("op", "config", configuration(timeout_ms=TIME_LIMIT_MS))
            engine = await create_task_on_vm(ENGINE_IP, deployment.add_engine("e0", host=ENGINE_IP))
            daemon = await create_task_on_vm(GATEWAY_IP, deployment.add_gateway(GATEWAY_IP))
            await deployment.wait_until_ready(1)
            headers = {"Deadline-Remaining": str(TIME_LIMIT_MS)}

            def send(path: str) -> asyncio.Task[Answer]:
                call = deployment.call(path, adapter="a1", headers=headers, timeout_s=10.0)
                return create_task_on_vm(CLIENT_IP, call)

            engine.events, engine.event_interval_s = EVENTS, EVENT_INTERVAL_S
            stream = send("/ask/0")
            await asyncio.sleep(0.5)
            stop = create_task_on_vm(GATEWAY_IP, daemon.drain())
            first = await stream
            engine.events = 1
            # What a client and its network need to send the next request.
            await asyncio.sleep(0.05)
            second = await send("/ask/1")
            await stop
            await deployment.close()
            return first, second

        first, second = run_virtual(scenario())
        assert first.complete
        assert first.fields.get(b"connection") != b"close"
        assert second.status in (200, 503)
