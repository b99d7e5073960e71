"""Callers of an experiment: send requests, retry on other entries and record the outcomes.

A caller retries a request only as the interface allows: an idempotent one after any outcome, any
other one under the same permit.
"""

import dataclasses
import itertools
import json
import random
import threading
import time
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any, final

import urllib3

from dragonflyhold.demo.events import read_events
from dragonflyhold.faults.oracle import CallerRecord
from dragonflyhold.states import Outcome

# Exceeds the deadline, so that an entry can still report that the deadline expired.
CALL_TIMEOUT_S = 25.0
DEADLINE_MS = 20_000
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.3
MAX_PERMIT_ATTEMPTS = 10
# Connections are not reused, so that a killed entry does not look like an unresponsive one.
_HEADERS = {"Connection": "close", "X-Deadline-Ms": str(DEADLINE_MS)}


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestPlan:
    """One request to send."""

    service: str
    # Empty for plain-service calls.
    adapter: str
    version: int
    weights: str
    kind: str
    idempotent: bool
    # Unique, except for prompts that crash engines.
    prompt: str
    max_tokens: int
    stream: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _AttemptResult:
    outcome: Outcome
    code: str
    text: str


@final
class ExperimentCaller:
    """Sends requests to the entries in random order."""

    def __init__(self, name: str, entry_urls: Sequence[str], rng: random.Random) -> None:
        self._name = name
        self._urls = list(entry_urls)
        self._rng = rng
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)

    def send(self, plan: RequestPlan) -> CallerRecord | None:
        """Send a request until its outcome is known; return ``None`` if no permit was issued."""
        sent_at = time.time()
        permit = "" if plan.idempotent else self._fetch_permit(plan)
        if not plan.idempotent and not permit:
            return None
        results: list[_AttemptResult] = []
        for url in itertools.islice(itertools.cycle(self._shuffled_urls()), MAX_ATTEMPTS):
            results.append(self._send_once(url, plan, permit))
            if results[-1].outcome in (Outcome.OK, Outcome.FAILED):
                break
            if results[-1].code in ("unknown_version", "quarantined"):
                break
            time.sleep(RETRY_DELAY_S)
        return CallerRecord(
            prompt=plan.prompt,
            weights=plan.weights,
            idempotent=plan.idempotent,
            outcomes=tuple(item.outcome for item in results),
            codes=tuple(item.code for item in results),
            text=results[-1].text,
            max_tokens=plan.max_tokens,
            sent_at=sent_at,
            ended_at=time.time(),
            permit=permit,
        )

    def _shuffled_urls(self) -> list[str]:
        return self._rng.sample(self._urls, len(self._urls))

    def _fetch_permit(self, plan: RequestPlan) -> str:
        body: dict[str, object] = {"service": plan.service, "kind": plan.kind, "count": 1}
        if plan.adapter:
            body["adapter"] = f"{plan.adapter}:{plan.version}"
        for _ in range(MAX_PERMIT_ATTEMPTS):
            try:
                response = self._http.request(
                    "POST",
                    f"{self._rng.choice(self._urls)}/v1/permits",
                    json=body,
                    headers=self._headers(plan, ""),
                )
                if response.status == 200:
                    return str(response.json()["permits"][0])
            except (urllib3.exceptions.HTTPError, ValueError):
                pass
            time.sleep(RETRY_DELAY_S)
        return ""

    def _send_once(self, url: str, plan: RequestPlan, permit: str) -> _AttemptResult:
        try:
            if not plan.adapter:
                return self._call_plain(url, plan, permit)
            return self._complete(url, plan, permit)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            # The connection failed, so the outcome is not known.
            return _AttemptResult(Outcome.IN_DOUBT, type(error).__name__, "")

    def _complete(self, url: str, plan: RequestPlan, permit: str) -> _AttemptResult:
        body = {
            "model": f"{plan.service}/{plan.adapter}:{plan.version}",
            "prompt": plan.prompt,
            "max_tokens": plan.max_tokens,
            "stream": plan.stream,
        }
        response = self._http.request(
            "POST",
            f"{url}/v1/completions",
            json=body,
            headers=self._headers(plan, permit),
            preload_content=not plan.stream,
        )
        if response.status != 200:
            return _error(json.loads(response.data))
        if plan.stream:
            return _read_events(response)
        return _AttemptResult(Outcome.OK, "", response.json()["choices"][0]["text"])

    def _call_plain(self, url: str, plan: RequestPlan, permit: str) -> _AttemptResult:
        service = urllib.parse.quote(plan.service, safe="")
        response = self._http.request(
            "POST",
            f"{url}/v1/services/{service}/call/redeem",
            json={"account": plan.prompt},
            headers=self._headers(plan, permit),
        )
        data = json.loads(response.data)
        if response.status != 200:
            return _error(data)
        return _AttemptResult(Outcome.OK, "", "")

    def _headers(self, plan: RequestPlan, permit: str) -> dict[str, str]:
        headers = {**_HEADERS, "X-Caller-Id": self._name, "X-Request-Kind": plan.kind}
        if permit:
            headers["Idempotency-Key"] = permit
        return headers


def _read_events(response: urllib3.BaseHTTPResponse) -> _AttemptResult:
    pieces: list[str] = []
    for event in read_events(response):
        match event.name:
            case "end":
                return _AttemptResult(Outcome.OK, "", "".join(pieces))
            case "error":
                return _error(event.data)
            case "":
                pieces.append(event.piece)
    return _AttemptResult(Outcome.IN_DOUBT, "stream_cut", "".join(pieces))


def _error(data: Any) -> _AttemptResult:
    error = data["error"]
    return _AttemptResult(Outcome(error["outcome"]), str(error["code"]), "")


@final
class CallerThreads:
    """Threads that send requests until ``stop`` is called."""

    def __init__(
        self,
        count: int,
        entry_urls: Sequence[str],
        seed: int,
        make_plan: Callable[[random.Random, int], RequestPlan],
    ) -> None:
        self.records: list[CallerRecord] = []
        self.without_permit = 0
        self._make_plan = make_plan
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(f"caller-{index}", list(entry_urls), random.Random(f"{seed}.{index}")),
                daemon=True,
            )
            for index in range(count)
        ]

    def start(self) -> None:
        """Start all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> bool:
        """Stop sending and wait for requests in progress; return whether all ended in time."""
        self._stopping.set()
        deadline = time.monotonic() + MAX_ATTEMPTS * CALL_TIMEOUT_S
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def _run(self, name: str, entry_urls: Sequence[str], rng: random.Random) -> None:
        caller = ExperimentCaller(name, entry_urls, rng)
        while not self._stopping.is_set():
            record = caller.send(self._make_plan(rng, next(self._numbers)))
            with self._lock:
                if record is None:
                    self.without_permit += 1
                else:
                    self.records.append(record)
            self._stopping.wait(rng.uniform(0.0, 0.2))
