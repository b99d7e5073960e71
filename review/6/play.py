"""A runner's entry is removed soon after a gateway has come back from a cut off the store."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

from harness import (
    BOUNDS,
    HOST,
    Link,
    Record,
    Runner,
    Store,
    is_troubled,
    run_case,
    running_gateway,
    send,
)

FOLDER = pathlib.Path(__file__).resolve().parent
DRAIN_S = BOUNDS["drain_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
CUT_S = 4.0
# From the end of the cut to the removal of the entry.
REMOVAL_DELAY_S = 1.2
# The runner serves for ``drain_ms`` after the removal, and for this time longer.
LONGER_S = 0.2
WORK_S = 0.15
PERIOD_S = 0.01


def configuration() -> dict[str, object]:
    """Return a configuration with one route, whose requests may run once at most."""
    route = {
        "name": "book",
        "host": HOST,
        "prefix": "/book/",
        "kind": "unsafe",
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "desk",
        "max_attempts": 1,
    }
    service = {"name": "desk", "health_check_path": "/health", "connection_limit": 400}
    return {"version": 1, "routes": [route], "services": [service], "limits": {}}


async def play() -> bool:
    """Play the case; return whether the rule was broken."""
    record, store = Record(FOLDER), Store()
    await store.start()
    link = Link("127.0.0.1", store.address)
    await link.start()
    runners = [
        Runner(f"127.0.3.{number}", f"runner-{number}", "desk", record, WORK_S)
        for number in range(1, 4)
    ]
    for runner in runners:
        await runner.start()
        store.write("servers", runner.name, runner.entry())
    store.write("op", "config", configuration())
    async with running_gateway("127.0.4.1", link.address) as gateway:
        clients = asyncio.create_task(send_requests(gateway, record))
        await asyncio.sleep(2.0)
        if is_troubled():
            record.note("the gateway is cut off the store")
            link.cut()
        await asyncio.sleep(CUT_S)
        link.heal()
        healed_at = time.monotonic()
        record.note("the gateway reaches the store")
        await asyncio.sleep(REMOVAL_DELAY_S)
        leaving = runners[0]
        store.write("servers", leaving.name, None)
        removed_at = time.monotonic()
        record.note(f"the store has removed the entry of {leaving.name}")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        leaving.end()
        record.note(f"{leaving.name} has ended")
        await asyncio.sleep(2.0)
        clients.cancel()
        await asyncio.gather(clients, return_exceptions=True)
    in_touch_at = healed_at + CONTACT_S if is_troubled() else removed_at
    bound_at = max(removed_at + DRAIN_S, in_touch_at)
    late = [(at, attempt) for at, attempt in leaving.runs if at > bound_at]
    for at, attempt in late:
        record.note(f"broken: {attempt} reached {leaving.name} {at - removed_at:.3f} s late")
    record.note(f"requests after the bound: {len(late)}")
    for server in (*runners, store, link):
        server.end()
    return bool(late)


async def send_requests(gateway: str, record: Record) -> None:
    """Send requests at an even rate until cancelled."""
    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            number += 1
            group.create_task(send_one(gateway, f"book-{number}", record))
            await asyncio.sleep(PERIOD_S)


async def send_one(gateway: str, attempt: str, record: Record) -> None:
    """Send one request that may run once at most."""
    record.note(f"sent {attempt}")
    result = await send(gateway, attempt, "POST", "/book/1", 1500, b"x")
    record.note(f"answered {attempt}: {result}")


run_case(play)
