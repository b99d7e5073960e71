"""Tests of client requests with odd headers, and of errors in the code that serves them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import pytest

from dragonflyhold.platform import codec
from dragonflyhold.platform.standins.site import (
    ENGINE_SERVICE,
    HOST,
    Answer,
    InProcessDeployment,
    configuration,
    running_deployment,
)

Result = TypeVar("Result")

ODD_VALUES = (
    *(b"", b" ", b"9" * 3000, b"-1", b"1e308", b"-1e308", b"1e400", b"nan", b"inf", b"0"),
    *(
        b"\xff\xfe",
        b"\xb2,\xb2",
        b"9" * 15,
        b"9" * 9 + b"," + b"9" * 9,
        b"," * 1000,
        b"/",
        b"base/",
    ),
)
NAMES = (
    *(b"Attempt-Id", b"Deadline-Remaining", b"Model", b"Token-Count", b"Prompt-Prefix"),
    *(b"Last-Event-Id", b"Length-Hint", b"Host", b"Content-Length"),
)


def _run_scenario(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]], **counts: int
) -> Result:
    async def run() -> Result:
        async with running_deployment(**counts) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


def _event_counts(deployment: InProcessDeployment) -> dict[str, float]:
    events = deployment.gateways[0]._metrics._events
    return {labels["event"]: value for labels, value in events.get_all()}


async def _status(deployment: InProcessDeployment, path: bytes, fields: list[Any]) -> int:
    """Return the status of the answer to a request, 0 if the connection closes without one."""
    host, _, port = deployment.client_address(0).rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [b"POST %s HTTP/1.1" % path, *(b"%s: %s" % field for field in fields), b"", b""]
    writer.write(b"\r\n".join(lines))
    async with asyncio.timeout(8):
        answer = await reader.readline()
    writer.close()
    return int(answer.split()[1]) if answer else 0


def _fields(deployment: InProcessDeployment, path: str) -> dict[bytes, bytes]:
    fields = deployment.client_fields(path, "a1", 600, (100, 20))
    return {name.encode(): value.encode() for name, value in fields.items()}


class TestOddHeaders:
    """Guards against requests that a header ends without an answer."""

    @pytest.mark.parametrize("name", NAMES)
    def test_each_request_is_answered(self, name: bytes) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[list[int], dict[str, float]]:
            calls = []
            for path in ("/ask/1", "/book/1"):
                for value in (None, *ODD_VALUES):
                    sound = _fields(deployment, path)
                    rest = [item for item in sound.items() if item[0] != name]
                    variants = [[*rest, (name, value)], [*sound.items(), (name, value)]]
                    for fields in [rest] if value is None else variants:
                        calls.append(_status(deployment, path.encode(), fields))
            statuses = [await call for call in calls]
            after = [(await deployment.call("/ask/1", adapter="a1")).status]
            return statuses + after, _event_counts(deployment)

        statuses, events = _run_scenario(scenario)
        assert 0 not in statuses
        assert statuses[-1] == 200, "a request after the odd ones was not served"
        assert not {"failed_internal", "request_failed_unexpectedly"} & events.keys()


class TestOddSizes:
    """Guards against one request whose size makes the ones after it look worthless."""

    def test_utilities_stay_near_one_after_a_request_of_absurd_size(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[float]:
            gateway = deployment.gateways[0].gateway
            assert gateway.catalogue.configuration is not None
            route = gateway.catalogue.configuration.routes[HOST][0]
            sizes = [b"1000,100"] * 20 + [b"100000000,100000000"] + [b"1000,100"] * 20
            infos = [codec.decode_request({b"token-count": size}) for size in sizes]
            return [gateway.estimate_utility(route, info) for info in infos]

        utilities = _run_scenario(scenario, engines=0, plain=1)
        assert utilities[20] == 4.0
        assert min(utilities) > 0.6


def _fail(*args: object, **kwargs: object) -> Any:
    raise OverflowError("int too large to convert")


# Where an error is raised, and the status that the client gets; 200 with a complete answer.
FAULTS = {
    "codec.decode_request": 502,
    "gateway.budget.note_request": 503,
    "gateway._rng.choices": 503,
    "gateway.client_ages.estimate": 503,
    "gateway.quarantine.is_refused": 503,
    "gateway.table.choose_again": 503,
    "gateway.permits.acquire": 503,
    "gateway.demands.request_started": 503,
    "gateway.agent_links.starts.wait": 503,
    "gateway.pool.send": 502,
    "gateway.table.note_first_byte": 502,
    "gateway.note_limit": 502,
    "gateway.note_load": 502,
    "gateway.note_answered": 200,
    "gateway._log_end": 200,
    "gateway.request_log.info": 503,
    "metrics.count_request": 200,
    "metrics.observe_first_token": 200,
}


class TestUnexpectedErrors:
    """Guards against an error that ends a request without an answer, or without a log line."""

    @pytest.mark.parametrize(("place", "status"), FAULTS.items())
    def test_a_request_is_answered_wherever_an_error_is_raised(
        self, place: str, status: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario(
            deployment: InProcessDeployment,
        ) -> tuple[Answer, Answer, int, dict[str, float]]:
            daemon = deployment.gateways[0]
            owner: Any = {"gateway": daemon.gateway, "metrics": daemon._metrics, "codec": codec}
            path, _, name = place.rpartition(".")
            first, *rest = path.split(".")
            owner = owner[first]
            for part in rest:
                owner = getattr(owner, part)
            config = configuration(2)
            split = [{"service": ENGINE_SERVICE, "weight": weight} for weight in (1, 2)]
            config["routes"][0]["traffic_split"] = split
            deployment.store.put("op", "config", config)
            await asyncio.sleep(0.1)
            await deployment.call("/ask/1", adapter="a1")
            runs = len(deployment.upstreams["e0"].runs)
            with monkeypatch.context() as patch:
                patch.setattr(owner, name, _fail)
                answer = await deployment.call("/ask/1", adapter="a1")
            ran = len(deployment.upstreams["e0"].runs) - runs
            after = await deployment.call("/ask/1", adapter="a1")
            return answer, after, ran, _event_counts(deployment)

        answer, after, ran, events = _run_scenario(scenario, engines=1, plain=0)
        assert answer.status == status
        assert answer.complete == (status != 200) or b"id:6" in answer.body.replace(b" ", b"")
        assert after.status == 200, "the next request is not served"
        assert not (ran and answer.status == 503), "a request that ran is said not to have run"
        assert events.get("request_failed_unexpectedly", 0) >= 1
