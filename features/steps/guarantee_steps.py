"""Steps that check the guarantees on requests and answers while processes fail."""

import hashlib
import subprocess
import sys
import threading
import time

import urllib3
from behave import given, step, then, when
from behave.runner import Context
from steps.deployment_steps import find_process

from dragonflyhold.demo.caller import Answer, AnswerError, Caller
from dragonflyhold.demo.events import read_events
from dragonflyhold.demo.operations import weights_path
from dragonflyhold.demo.processes import wait_until
from dragonflyhold.faults.oracle import expected_text, prompt_digest
from dragonflyhold.transport.schema import operator_pb2 as pb

SERVICE = "tapster-lm"
LEDGER_SERVICE = "token-ledger"
REQUEST_START_TIMEOUT_S = 20.0
STREAM_TIMEOUT_S = 40.0
PROCESS_TIMEOUT_S = 30.0
CRASHING_PROMPT = "[[crash:1]] please"


class _BackgroundStream:
    """A streaming request that runs in a thread of its own."""

    def __init__(self, caller: Caller, adapter: str, prompt: str, piece_count: int) -> None:
        self.prompt, self.adapter, self.piece_count = prompt, adapter, piece_count
        self.result: Answer | Exception | None = None
        self.received_count = 0
        self._caller = caller
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def expected_answer(self) -> str:
        weights = weights_path(SERVICE, self.adapter, 1)
        return expected_text(weights, self.prompt, self.piece_count)

    def join(self) -> None:
        self._thread.join(STREAM_TIMEOUT_S)

    def _on_piece(self, index: int) -> None:
        self.received_count = index + 1

    def _run(self) -> None:
        model = f"{SERVICE}/{self.adapter}:1"
        try:
            self.result = self._caller.stream(
                model, self.prompt, "question", self.piece_count, self._on_piece
            )
        except Exception as error:  # Reported by the step that joins the thread.
            self.result = error


@given("{count:d} streams of {pieces:d} pieces are running")
def start_streams(context: Context, count: int, pieces: int) -> None:
    callers = context.callers
    context.streams = [
        _BackgroundStream(callers[i % len(callers)], f"stall-{i % 4 + 1:04}", f"stream {i}", pieces)
        for i in range(count)
    ]
    wait_until(
        "the first piece of every stream",
        lambda: all(stream.received_count for stream in context.streams),
        REQUEST_START_TIMEOUT_S,
    )


@then("every stream is complete")
def assert_streams_complete(context: Context) -> None:
    for stream in context.streams:
        stream.join()
        assert isinstance(stream.result, Answer), stream.result
        assert stream.result.text == stream.expected_answer, stream.result


@then('process "{name}" exits with status {status:d}')
def assert_process_exit_status(context: Context, name: str, status: int) -> None:
    process = find_process(context, name)
    assert process.wait(PROCESS_TIMEOUT_S), process.log_tail()
    assert process.exit_status == status, process.log_tail()


@step("{seconds:d} seconds have passed")
def wait_seconds(context: Context, seconds: int) -> None:
    del context
    time.sleep(seconds)


@when('the operator drains "{upstream}"')
def drain_upstream(context: Context, upstream: str) -> None:
    plan = next(p for p in context.deployment.plan.upstreams() if p.name == upstream)
    message = pb.Upstream(
        name=upstream,
        service=plan.service.name,
        data_centre=plan.data_centre,
        sidecar_address=context.deployment.sidecars[upstream].grpc_address,
        checks_fencing=plan.service.checks_fencing,
        slots=context.deployment.plan.slots,
        batch_limit=context.deployment.plan.batch_limit,
        mode=pb.UPSTREAM_MODE_DRAINING,
    )
    context.operator.apply([pb.Operation(put=pb.ConfigObject(upstream=message))])


@when('the VM list reports the VM of "{upstream}" as leaving')
def set_vm_leaving(context: Context, upstream: str) -> None:
    sidecar = context.deployment.sidecars[upstream]
    vm = {
        "name": f"vm-{upstream}",
        "address": "127.0.0.1",
        "data_centre": sidecar.plan.data_centre,
        "state": "leaving",
        "upstream": upstream,
    }
    context.deployment.set_fault("vms", vm=vm)


@when("{count:d} requests are sent to each entry")
def send_requests(context: Context, count: int) -> None:
    context.sending_started_at = time.time()
    for caller in context.callers:
        for number in range(count):
            caller.complete(f"{SERVICE}/stall-{number + 1:04}:1", f"late {number}", "question")


@then('upstream "{upstream}" started none of these requests')
def assert_no_request_started(context: Context, upstream: str) -> None:
    runs = context.deployment.upstream_journal(upstream)["runs"]
    started = [run for run in runs if run["started_at"] >= context.sending_started_at]
    assert not started, started


@given("a stream of {pieces:d} pieces through entry 1 has delivered {delivered:d} pieces")
def start_interrupted_stream(context: Context, pieces: int, delivered: int) -> None:
    url = context.deployment.entries[0].url
    body = {
        "model": f"{SERVICE}/stall-0001:1",
        "prompt": "resumed",
        "max_tokens": pieces,
        "stream": True,
    }
    response = urllib3.PoolManager(retries=False).request(
        "POST",
        f"{url}/v1/completions",
        json=body,
        headers={"X-Request-Kind": "question"},
        preload_content=False,
    )
    context.request_id = response.headers["X-Request-Id"]
    context.expected_answer = expected_text(
        weights_path(SERVICE, "stall-0001", 1), "resumed", pieces
    )
    context.pieces = []
    for event in read_events(response):
        context.pieces.append(event.piece)
        if len(context.pieces) == delivered:
            return


@when("the caller resumes the answer through entry 2")
def resume_answer(context: Context) -> None:
    url = context.deployment.entries[1].url
    start = len(context.pieces)
    response = urllib3.PoolManager(retries=False, timeout=STREAM_TIMEOUT_S).request(
        "GET",
        f"{url}/v1/requests/{context.request_id}/answer?from={start}",
        preload_content=False,
    )
    assert response.status == 200, response.data
    for event in read_events(response):
        if event.name == "end":
            context.end_event = event.data
        else:
            context.pieces.append(event.piece)


@then("the concatenated answer is complete")
def assert_answer_complete(context: Context) -> None:
    text = "".join(context.pieces)
    assert text == context.expected_answer, text
    assert context.end_event["digest"] == hashlib.sha256(text.encode()).hexdigest()


def _redeem(context: Context, entry_index: int) -> None:
    try:
        body = {"account": "guest"}
        context.callers[entry_index].call_service(
            LEDGER_SERVICE, "redeem", body, "redeem", context.permit
        )
        context.outcomes.append("ok")
    except AnswerError as error:
        context.outcomes.append(error.outcome)
    except urllib3.exceptions.HTTPError:
        context.outcomes.append("no answer")


def _prepare_redemption(context: Context) -> None:
    context.permit = context.callers[0].permit(LEDGER_SERVICE, "", "redeem")
    context.outcomes = []


@when("a redemption is sent through entry 1 and then through entry 2")
def redeem_twice(context: Context) -> None:
    _prepare_redemption(context)
    _redeem(context, 0)
    _redeem(context, 1)


@given("a redemption is running through entry 1")
def start_redemption(context: Context) -> None:
    _prepare_redemption(context)
    threading.Thread(target=_redeem, args=(context, 0), daemon=True).start()
    wait_until(
        "the start of the redemption",
        lambda: _count_redemptions(context) == 1,
        REQUEST_START_TIMEOUT_S,
    )


@when("the redemption is repeated through entry 2 once the restarted sidecar is ready")
def repeat_redemption(context: Context) -> None:
    sidecar = context.deployment.sidecars[f"{LEDGER_SERVICE}-1"]

    def is_ready() -> bool:
        try:
            response = urllib3.PoolManager(retries=False).request(
                "GET", f"{sidecar.http_url}/readyz"
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    wait_until("the readiness of the restarted sidecar", is_ready, PROCESS_TIMEOUT_S)
    for _ in range(3):
        _redeem(context, 1)


@then('the redemption is reported as "{outcome}"')
def assert_redemption_outcomes(context: Context, outcome: str) -> None:
    assert context.outcomes
    assert set(context.outcomes) == {outcome}, context.outcomes


@then("the redemption ran {count:d} time")
def assert_redemption_count(context: Context, count: int) -> None:
    assert _count_redemptions(context) == count, context.deployment.upstream_journal(
        f"{LEDGER_SERVICE}-1"
    )


def _count_redemptions(context: Context) -> int:
    calls = context.deployment.upstream_journal(f"{LEDGER_SERVICE}-1")["calls"]
    return sum(call["key"] == context.permit for call in calls)


@when("a request that crashes its engine is sent {count:d} times")
def send_crashing_requests(context: Context, count: int) -> None:
    context.errors = []
    for number in range(count):
        caller = context.callers[number % len(context.callers)]
        try:
            caller.complete(f"{SERVICE}/stall-0009:1", CRASHING_PROMPT, "question")
        except AnswerError as error:
            context.errors.append(error)


@then('the last attempt was refused with "{code}"')
def assert_last_refusal(context: Context, code: str) -> None:
    assert context.errors[-1].code == code, context.errors
    assert context.errors[-1].outcome == "not_run", context.errors


@then("it crashed at most {count:d} engines")
def assert_max_crashes(context: Context, count: int) -> None:
    digest = prompt_digest(CRASHING_PROMPT)
    crashed = [
        run
        for name, sidecar in context.deployment.sidecars.items()
        if sidecar.plan.service.name == SERVICE
        for run in context.deployment.upstream_journal(name)["runs"]
        if run["prompt_digest"] == digest and run["state"] == "crashed"
    ]
    assert 0 < len(crashed) <= count, crashed


@then('a second instance of "{name}" exits with status {status:d}')
def assert_second_instance_exits(context: Context, name: str, status: int) -> None:
    path = context.deployment.settings_path(name)
    command = [sys.executable, "-m", "dragonflyhold", "run", "sidecar", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert result.returncode == status, result
