"""A gateway that has just started goes on sending to a runner whose entry was removed."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from stand_ins import (
    CONTACT_S,
    DRAIN_S,
    Client,
    Daemon,
    Record,
    Runner,
    Store,
    cleaning,
    configuration,
    free_range,
    gateway_settings,
    route,
    run_case,
    service,
)

# Time of a run, and between two requests of the clients.
WORK_S = 0.15
PERIOD_S = 0.02
# Time from the gateway's first read of the registry until the entry is removed.
REMOVAL_DELAY_S = 0.9
# A leaving runner serves on for the platform's ``drain_ms`` and this much longer.
LINGER_S = 0.25


async def main(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Restart the gateway as planned, then let a runner leave; return whether DRAIN is broken."""
    ip = f"127.{random.randint(20, 60)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
    async with cleaning() as opened:
        store = Store(record)
        await store.server.start(ip)
        routes = [route("book", "unsafe", "desk"), route("read", "safe", "desk", max_attempts=2)]
        store.put("op", "config", configuration(3, routes, [service("desk")]))
        runners = [Runner(store, record, f"i-{n}", "desk", work_s=WORK_S) for n in range(3)]
        for runner in runners:
            await runner.start(ip)
        gateway = Daemon(record, folder, gateway_settings("front-1", ip, store, free_range([ip])))
        opened.append(gateway)
        await gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(4)
        if has_trouble:
            store.forget_reads()
            gateway.signal(signal.SIGTERM)
            await gateway.wait()
            await gateway.start()
            await gateway.wait_ready()
        first_read_at = store.read_at["servers"]
        client, work = Client(record), set[asyncio.Task[object]]()

        async def send() -> None:
            while True:
                target = random.choice(("/book/1", "/read/1"))
                work.add(asyncio.ensure_future(client.send(gateway.front, target)))
                await asyncio.sleep(PERIOD_S)

        sending = asyncio.ensure_future(send())
        await asyncio.sleep(max(0.0, first_read_at + REMOVAL_DELAY_S - time.monotonic()))
        left = runners[0]
        removed_at = left.leave()
        await asyncio.sleep(DRAIN_S + LINGER_S)
        left.exit()
        await asyncio.sleep(1)
        sending.cancel()
        await asyncio.gather(*work)
    # Judged only while the gateway is in touch: ``contact_ms`` after its start.
    judged_from = max(removed_at + DRAIN_S, gateway.started_at + CONTACT_S)
    late = [request_id for at, request_id in left.arrivals if at > judged_from]
    for at, request_id in left.arrivals:
        if at > judged_from:
            after_ms = round((at - removed_at) * 1000)
            record.note("DRAIN", id=request_id, runner=left.runner_id, after_ms=after_ms)
    cut = {run.request_id for run in left.runs if not run.has_ended}
    lost = [a for a in client.answers if a.request_id in cut and a.status != 200]
    for answer in lost:
        record.note("cut off", id=answer.request_id, status=answer.status)
    record.note("count", sent=len(client.answers), late=len(late), cut_off=len(lost))
    return bool(late)


run_case(main, str(pathlib.Path(__file__).parent))
