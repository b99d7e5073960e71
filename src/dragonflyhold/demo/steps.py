"""Steps of the demo; each prints its result and raises an error if a check fails."""

import hashlib
import threading
from collections.abc import Callable
from typing import final

from dragonflyhold.demo.caller import Answer, AnswerError, Caller
from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.operations import (
    OperatorClient,
    delete_version,
    put_version,
    weights_path,
)
from dragonflyhold.demo.plans import ServicePlan
from dragonflyhold.demo.processes import DeploymentError
from dragonflyhold.states import ServiceType

REQUESTS_PER_SERVICE = 6
# 5 s at 100 tokens/s: long enough for a configuration change to come into force in the meantime.
LONG_ANSWER_TOKENS = 500
PIECES_BEFORE_CHANGE = 5
STEP_TIMEOUT_S = 60.0

PrintLine = Callable[[str], None]


@final
class DemoSteps:
    """Runs the steps against a configured deployment."""

    def __init__(self, deployment: Deployment, print_line: PrintLine) -> None:
        self._deployment = deployment
        self._print = print_line
        self._callers = [Caller(entry.url) for entry in deployment.entries]
        self._operators = [OperatorClient(entry.grpc_address) for entry in deployment.entries]

    def close(self) -> None:
        """Close all connections."""
        for caller in self._callers:
            caller.close()
        for operator in self._operators:
            operator.close()

    def run(self) -> None:
        """Run all steps; raise ``DeploymentError`` or ``AnswerError`` if one fails."""
        self._serve_requests()
        self._change_during_request()
        self._request_removed_version()
        self._send_permit_twice()
        self._call_plain_services()
        self._explain()
        self._check_violations()

    def _serve_requests(self) -> None:
        for service in self._engine_services():
            names = service.adapter_names()
            for number in range(REQUESTS_PER_SERVICE):
                adapter = names[number * len(names) // REQUESTS_PER_SERVICE]
                caller = self._callers[number % len(self._callers)]
                prompt = f"Question {number} to {adapter}"
                model = f"{service.name}/{adapter}:1"
                answer = caller.complete(model, prompt, "question")
                _check_answer(answer, service.name, adapter, 1, prompt)
                self._print(f"served   {model} by weights {answer.weights} as {answer.request_id}")

    def _change_during_request(self) -> None:
        service = self._deployment.plan.engine_service
        adapter = service.adapter_names()[1]
        old, new = (f"{service.name}/{adapter}:{version}" for version in (1, 2))
        has_begun = threading.Event()
        answers: list[Answer | Exception] = []

        def on_piece(index: int) -> None:
            if index == PIECES_BEFORE_CHANGE:
                has_begun.set()

        def run_request() -> None:
            try:
                caller = self._callers[0]
                answer = caller.stream(old, "Long answer", "question", LONG_ANSWER_TOKENS, on_piece)
                answers.append(answer)
            except Exception as error:  # Raised again in the main thread.
                answers.append(error)
            finally:
                has_begun.set()

        thread = threading.Thread(target=run_request)
        thread.start()
        has_begun.wait(STEP_TIMEOUT_S)
        operations = [
            put_version(service.name, adapter, 2),
            delete_version(service.name, adapter, 1),
        ]
        revision = self._operators[0].apply(operations)
        self._operators[0].wait_in_force(revision)
        was_running = thread.is_alive()
        thread.join(STEP_TIMEOUT_S)
        answer = answers[0] if answers else DeploymentError("the stream did not end")
        if isinstance(answer, Exception):
            raise answer
        _check_answer(answer, service.name, adapter, 1, "Long answer")
        state = "was still running" if was_running else "had ended"
        self._print(f"changed  revision {revision} replaced {old} by {new}")
        self._print(
            f"finished {answer.request_id} on {answer.weights}; it {state} when the change was"
            " in force"
        )
        answer = self._callers[-1].complete(new, "After the change", "question")
        _check_answer(answer, service.name, adapter, 2, "After the change")
        self._print(f"served   {new} by weights {answer.weights} as {answer.request_id}")

    def _request_removed_version(self) -> None:
        service = self._deployment.plan.engine_service
        model = f"{service.name}/{service.adapter_names()[1]}:1"
        try:
            self._callers[0].complete(model, "Too late", "question")
        except AnswerError as error:
            if error.outcome != "not_run":
                raise
            self._print(f"refused  {model}: {error}")
            return
        raise DeploymentError(f"{model} was served after it had been removed")

    def _send_permit_twice(self) -> None:
        service, kind = self._find_non_idempotent_kind()
        adapter = service.adapter_names()[0]
        model = f"{service.name}/{adapter}:1"
        permit = self._callers[0].permit(service.name, f"{adapter}:1", kind)
        answers = [
            caller.complete(model, "Once only", kind, permit)
            for caller in (self._callers[0], self._callers[-1])
        ]
        runs = sum(
            run["request_id"] == permit
            for upstream in self._engine_upstreams()
            for run in self._deployment.upstream_journal(upstream)["runs"]
        )
        if answers[0].text != answers[1].text or runs != 1:
            raise DeploymentError(f"permit {permit} ran {runs} times: {answers}")
        self._print(
            f"permit   {permit} was sent twice as {kind} and ran once, with the same answer"
        )

    def _call_plain_services(self) -> None:
        plans = self._deployment.plan.services
        for service in (plan for plan in plans if plan.type is ServiceType.PLAIN):
            kind = next(plan.name for plan in service.kinds if not plan.idempotent)
            permit = self._callers[0].permit(service.name, "", kind)
            body = {"account": "guest-1", "count": 1}
            answers = [
                caller.call_service(service.name, "redeem", body, kind, permit)
                for caller in (self._callers[0], self._callers[-1])
            ]
            # The service does not deduplicate calls, so a second run would change its balance.
            if answers != [{"action": "redeem", "account": "guest-1", "balance": -1}] * 2:
                raise DeploymentError(f"permit {permit} did not run once: {answers}")
            self._print(f"permit   {permit} was sent twice to {service.name} and ran once")

    def _explain(self) -> None:
        service = self._deployment.plan.engine_service
        model = f"{service.name}/{service.adapter_names()[2]}:1"
        # An entry records events only of requests that it forwarded itself.
        answer = self._callers[-1].complete(model, "Explain this", "question")
        reply = self._operators[-1].explain(answer.request_id)
        if not reply.events:
            raise DeploymentError(f"no events are recorded for {answer.request_id}")
        self._print(f"explain  {answer.request_id}")
        for event in reply.events:
            self._print(f"           {event.text}")

    def _check_violations(self) -> None:
        for upstream in self._engine_upstreams():
            violations = self._deployment.upstream_journal(upstream)["violations"]
            if violations:
                raise DeploymentError(f"{upstream}: {violations}")

    def _engine_services(self) -> list[ServicePlan]:
        services = self._deployment.plan.services
        return [plan for plan in services if plan.type is ServiceType.ENGINE]

    def _engine_upstreams(self) -> list[str]:
        upstreams = self._deployment.plan.upstreams()
        return [plan.name for plan in upstreams if plan.service.type is ServiceType.ENGINE]

    def _find_non_idempotent_kind(self) -> tuple[ServicePlan, str]:
        for service in self._engine_services():
            for kind in service.kinds:
                if not kind.idempotent:
                    return service, kind.name
        raise DeploymentError("no service has a kind that is not idempotent")


def _check_answer(answer: Answer, service: str, adapter: str, version: int, prompt: str) -> None:
    weights = weights_path(service, adapter, version)
    digest = hashlib.sha256(prompt.encode()).hexdigest()[: len(answer.prompt_digest) or None]
    if (answer.weights, answer.prompt_digest) != (weights, digest):
        raise DeploymentError(f"wrong answer, expected {weights} and {digest}: {answer}")
