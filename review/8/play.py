"""A new configuration moves a route, and adds one whose prefix is long."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

from harness import (
    BOUNDS,
    HOST,
    Record,
    Runner,
    Store,
    is_troubled,
    run_case,
    running_gateway,
    send,
)

FOLDER = pathlib.Path(__file__).resolve().parent
CONFIGURATION_S = BOUNDS["configuration_ms"] / 1000
MARGIN_S = 1.0
# Far below what ``header_bytes`` allows a client to send.
LONG_PREFIX = "/" + "/".join(["members"] * 25) + "/"
SHORT_PREFIX = "/members/"


def route(name: str, prefix: str, service: str) -> dict[str, object]:
    """Return a route whose requests may run once at most."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
    }


def configuration(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a configuration with two services."""
    services = [
        {"name": name, "health_check_path": "/health", "connection_limit": 400}
        for name in ("old-desk", "new-desk")
    ]
    limits = {
        "header_bytes": 16384,
        "body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


async def play() -> bool:
    """Play the case; return whether the rule was broken."""
    record, store = Record(FOLDER), Store()
    await store.start()
    old = Runner("127.0.5.1", "runner-old", "old-desk", record, 0.02)
    new = Runner("127.0.5.2", "runner-new", "new-desk", record, 0.02)
    for runner in (old, new):
        await runner.start()
        store.write("servers", runner.name, runner.entry())
    prefix = LONG_PREFIX if is_troubled() else SHORT_PREFIX
    moved = route("book", "/book/", "new-desk")
    changes = [
        [moved, route("members", prefix, "new-desk")],
        [moved, route("members", prefix, "new-desk"), route("more", "/more/", "new-desk")],
    ]
    store.write("op", "config", configuration(3, [route("book", "/book/", "old-desk")]))
    is_broken = False
    async with running_gateway("127.0.6.1", store.address) as gateway:
        first = await send(gateway, "before-1", "POST", "/book/1", 1500, b"x")
        record.note(f"answered before-1: {first}")
        if first != "200" or len(old.runs) != 1:
            raise OSError("the first configuration is not in force")
        for number, routes in enumerate(changes, 1):
            store.write("op", "config", configuration(3 + 4 * number, routes))
            record.note(f"the store has confirmed version {3 + 4 * number}")
            await asyncio.sleep(CONFIGURATION_S + MARGIN_S)
            for added in routes:
                attempt = f"after-{number}-{added['name']}"
                runs = len(old.runs)
                path = f"{added['prefix']}1"
                status = await send(gateway, attempt, "POST", path, 1500, b"x")
                record.note(f"answered {attempt}: {status}")
                if status == "404" or len(old.runs) > runs:
                    record.note(f"broken: {attempt} is handled as only version 3 allows")
                    is_broken = True
    for server in (old, new, store):
        server.end()
    return is_broken


run_case(play)
