"""Load generator for streamed completions over HTTP, with latencies measured at the client."""

import concurrent.futures
import dataclasses
import ipaddress
import itertools
import json
import math
import multiprocessing
import threading
import time
import urllib.parse
from collections.abc import Iterator, Sequence
from typing import final

import urllib3

from dragonflyhold.errors import UsageError

# Limits of one run, so that a mistyped option cannot overload the machine indefinitely.
MAX_REQUESTS = 100_000
MAX_DURATION_S = 600.0
MAX_CONCURRENCY = 512
READ_TIMEOUT_S = 60.0
READ_BYTES = 65_536

_TOKEN_EVENT_MARKER = b'"choices"'
_END_EVENT_PREFIXES = (b"event: end", b"data: [DONE]")


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Base URL of an entry daemon or an engine, and the model to request."""

    # Must be a loopback address.
    url: str
    model: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadOptions:
    """Targets, rate, size and duration of a load run."""

    # Used round-robin.
    targets: tuple[Target, ...]
    # Request kind; empty for engines.
    kind: str = ""
    concurrency: int = 32
    # Evenly spaced request starts per second; 0: a request starts whenever another one ends.
    rate_per_s: float = 0.0
    duration_s: float = 10.0
    max_requests: int = 10_000
    max_tokens: int = 64
    prompt_chars: int = 256
    # Load generator processes, each of which can parse about 20,000 tokens/s.
    processes: int = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Latencies of one request; ``error`` is empty if it was answered completely."""

    first_token_s: float
    gaps_s: tuple[float, ...]
    tokens: int
    error: str = ""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Samples of all requests of a run, and its duration."""

    samples: tuple[Sample, ...]
    elapsed_s: float

    @property
    def answered(self) -> list[Sample]:
        """Samples of the requests that were answered completely."""
        return [sample for sample in self.samples if not sample.error]

    def to_json(self) -> dict[str, object]:
        """Return summary figures, with latencies in milliseconds."""
        answered = self.answered
        errors: dict[str, int] = {}
        for sample in self.samples:
            if sample.error:
                errors[sample.error] = errors.get(sample.error, 0) + 1
        return {
            "requests": len(self.samples),
            "errors": errors,
            "elapsed_s": round(self.elapsed_s, 3),
            "requests_per_s": round(len(answered) / self.elapsed_s, 2),
            "tokens_per_s": round(sum(s.tokens for s in answered) / self.elapsed_s, 1),
            "first_token_ms": _quantiles_ms([s.first_token_s for s in answered]),
            "between_tokens_ms": _quantiles_ms(
                list(itertools.chain.from_iterable(s.gaps_s for s in answered))
            ),
        }


def run_load(options: LoadOptions) -> LoadResult:
    """Run the load; raise ``UsageError`` if the options are out of bounds."""
    check_options(options)
    processes = max(1, min(options.processes, options.concurrency))
    shares = [_share(options, index, processes) for index in range(processes)]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, mp_context=context) as pool:
        # Starts the processes first, so that their start-up is not part of the measured time.
        list(pool.map(_occupy_process, range(processes)))
        started = time.monotonic()
        sample_lists = list(pool.map(_run_share, shares))
        elapsed_s = time.monotonic() - started
    return LoadResult(tuple(itertools.chain.from_iterable(sample_lists)), elapsed_s)


def check_options(options: LoadOptions) -> None:
    """Raise ``UsageError`` if the options are out of bounds."""
    for target in options.targets:
        if not _is_loopback(target.url):
            raise UsageError(f"{target.url!r} is not a loopback address")
    bounds = (
        ("max_requests", options.max_requests, MAX_REQUESTS),
        ("duration_s", options.duration_s, MAX_DURATION_S),
        ("concurrency", options.concurrency, MAX_CONCURRENCY),
    )
    for name, value, limit in bounds:
        if not 0 < value <= limit:
            raise UsageError(f"{name} is {value}; must be above 0 and at most {limit:g}")
    if not options.targets:
        raise UsageError("at least one target is required")


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile of unsorted values; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _is_loopback(url: str) -> bool:
    try:
        host = urllib.parse.urlsplit(url).hostname or ""
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _quantiles_ms(values: Sequence[float]) -> dict[str, float]:
    shares = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
    return {name: round(1000 * percentile(values, share), 2) for name, share in shares.items()}


def _share(options: LoadOptions, index: int, processes: int) -> LoadOptions:
    def share_of(total: int) -> int:
        return total // processes + (index < total % processes)

    return dataclasses.replace(
        options,
        # Each process starts with another target, so that they do not all use the same one at once.
        targets=options.targets[index:] + options.targets[:index],
        concurrency=share_of(options.concurrency),
        max_requests=max(1, share_of(options.max_requests)),
        rate_per_s=options.rate_per_s / processes,
    )


def _occupy_process(index: int) -> int:
    # Long enough that every process of the pool receives one of these calls.
    time.sleep(0.2)
    return index


def _run_share(options: LoadOptions) -> list[Sample]:
    end = time.monotonic() + options.duration_s
    schedule = _schedule(options)
    lock = threading.Lock()
    samples: list[Sample] = []

    def run_stream() -> None:
        with urllib3.PoolManager(retries=False, timeout=READ_TIMEOUT_S) as http:
            while True:
                with lock:
                    number, due = next(schedule, (-1, 0.0))
                if number < 0 or max(due, time.monotonic()) >= end:
                    return
                time.sleep(max(0.0, due - time.monotonic()))
                # Measured from the scheduled start, so that a stall counts for delayed requests.
                sample = _send(http, options, number, due or time.monotonic())
                with lock:
                    samples.append(sample)

    threads = [threading.Thread(target=run_stream) for _ in range(options.concurrency)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return samples


def _schedule(options: LoadOptions) -> Iterator[tuple[int, float]]:
    """Yield the number and the start time of each request; 0 means immediately."""
    started = time.monotonic()
    for number in range(options.max_requests):
        due = started + number / options.rate_per_s if options.rate_per_s else 0.0
        yield number, due


def _send(http: urllib3.PoolManager, options: LoadOptions, number: int, due: float) -> Sample:
    target = options.targets[number % len(options.targets)]
    body = {
        "model": target.model,
        # A unique prefix, so that the engine's prefix cache does not skip the prefill.
        "prompt": f"{number} {target.model} ".ljust(options.prompt_chars, "x"),
        "max_tokens": options.max_tokens,
        "stream": True,
    }
    headers = {"X-Caller-Id": f"load-{number % options.concurrency}"}
    if options.kind:
        headers["X-Request-Kind"] = options.kind
    url = f"{target.url}/v1/completions"
    try:
        response = http.request("POST", url, json=body, headers=headers, preload_content=False)
        try:
            if response.status != 200:
                return Sample(0.0, (), 0, _error_code(response.read()))
            return _read_stream(response, due)
        finally:
            response.drain_conn()
            response.release_conn()
    except urllib3.exceptions.HTTPError as error:
        return Sample(0.0, (), 0, type(error).__name__)


def _read_stream(response: urllib3.BaseHTTPResponse, due: float) -> Sample:
    times: list[float] = []
    buffer = b""
    while chunk := response.read1(READ_BYTES):
        now = time.monotonic()
        *events, buffer = (buffer + chunk).split(b"\n\n")
        for event in events:
            if event.startswith(_END_EVENT_PREFIXES):
                gaps = tuple(after - before for before, after in itertools.pairwise(times))
                return Sample(times[0] - due if times else 0.0, gaps, len(times))
            if event.startswith(b"event: error"):
                return Sample(0.0, (), len(times), "error_event")
            if _TOKEN_EVENT_MARKER in event:
                times.append(now)
    return Sample(0.0, (), len(times), "broken_off")


def _error_code(body: bytes) -> str:
    try:
        return str(json.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "no_error_code"
