"""Tests of a single attempt."""

import asyncio
import time

from dragonflyhold.accounts import Unidentified
from dragonflyhold.gateway.attempt import Attempt
from dragonflyhold.gateway.dispatch import SendNow
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.gateway.outcomes import NotRun, Outcome, Reason
from dragonflyhold.gateway.request import RequestRun
from dragonflyhold.platform import codec
from dragonflyhold.platform.standins.site import (
    HOST,
    InProcessDeployment,
    client_call,
    running_deployment,
)

PAUSE_S = 2.0


class _Responder:
    is_started = False


def _received_before_pause(deployment: InProcessDeployment) -> ClientRequest:
    headers = deployment.client_fields("/book/1", "", 1500, (0, 0))
    call = client_call("POST", "/book/1", headers, b"")
    fields = {name.lower(): value for name, value in call.headers}
    received = time.monotonic() - PAUSE_S
    return ClientRequest(b"POST", b"/book/1", call.headers, fields, b"", received)


class TestPausedProcess:
    """A process that was paused between a decision and the act."""

    def test_nothing_is_sent_once_the_time_limit_has_passed(self) -> None:
        """Guards against requests that run although their clients have given up."""

        async def scenario() -> tuple[Outcome, int]:
            async with running_deployment(engines=1, plain=1) as deployment:
                gateway = deployment.gateways[0].gateway
                request = _received_before_pause(deployment)
                configuration = gateway.catalogue.configuration
                assert configuration is not None
                route = configuration.find_route(HOST, "/book/1")
                assert route is not None
                run = RequestRun(
                    gateway,
                    request,
                    codec.decode_request(request.fields),
                    route,
                    route.shares[0].service,
                    Unidentified(),
                    _Responder(),  # type: ignore[arg-type]
                )
                choice = SendNow(UpstreamId("p0"), None)
                outcome = await Attempt(gateway, run._context, choice).run()
                return outcome, len(deployment.upstreams["p0"].runs)

        assert asyncio.run(scenario()) == (NotRun(Reason.TIMEOUT, reached_upstream=False), 0)
