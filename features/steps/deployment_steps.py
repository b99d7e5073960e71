"""Steps that send requests, signal processes, inject faults and check the upstream journals."""

import json

import urllib3
from behave import given, step, then, when
from behave.runner import Context

from dragonflyhold.demo.caller import AnswerError
from dragonflyhold.demo.operations import weights_path
from dragonflyhold.demo.processes import ManagedProcess, wait_until
from dragonflyhold.states import ServiceType

RECOVERY_TIMEOUT_S = 30.0
IDEMPOTENT_KIND = "question"


def find_process(context: Context, name: str) -> ManagedProcess:
    """Return a process by its name, such as ``entry-1``, ``sidecar-<upstream>`` or ``table``."""
    deployment = context.deployment
    processes = [entry.process for entry in deployment.entries]
    processes += [stand_in.process for stand_in in deployment.platform.values()]
    for sidecar in deployment.sidecars.values():
        processes += [sidecar.process, sidecar.upstream.process]
    return next(process for process in processes if process.name == name)


def send_request(context: Context, model: str, prompt: str) -> None:
    """Send an idempotent request; store its answer or its error in the context."""
    context.answer = context.error = None
    try:
        context.answer = context.callers[-1].complete(model, prompt, IDEMPOTENT_KIND)
    except (AnswerError, urllib3.exceptions.HTTPError) as error:
        context.error = error


@given('process "{name}" is killed')
@when('process "{name}" is killed')
def kill_process(context: Context, name: str) -> None:
    find_process(context, name).kill()


@given('process "{name}" is suspended')
@when('process "{name}" is suspended')
def suspend_process(context: Context, name: str) -> None:
    find_process(context, name).suspend()


@when('process "{name}" is resumed')
def resume_process(context: Context, name: str) -> None:
    find_process(context, name).resume()


@when('process "{name}" receives SIGTERM')
def terminate_process(context: Context, name: str) -> None:
    find_process(context, name).terminate()


@when('process "{name}" is restarted')
def restart_process(context: Context, name: str) -> None:
    find_process(context, name).start()


@given("stand-in \"{name}\" has faults '{faults}'")
@when("stand-in \"{name}\" has faults '{faults}'")
def set_faults(context: Context, name: str, faults: str) -> None:
    context.deployment.set_fault(name, **json.loads(faults))


@when('the caller queries "{model}" with prompt "{prompt}"')
def query_model(context: Context, model: str, prompt: str) -> None:
    send_request(context, model, prompt)


@step('the caller queries "{model}" until a request succeeds')
def query_until_answered(context: Context, model: str) -> None:
    def is_answered() -> bool:
        send_request(context, model, "until answered")
        return context.answer is not None

    wait_until(f"an answer from {model}", is_answered, RECOVERY_TIMEOUT_S)


@then('the answer is from version {version:d} of "{adapter}" of "{service}"')
def assert_answer_version(context: Context, version: int, adapter: str, service: str) -> None:
    assert context.answer is not None, context.error
    assert context.answer.weights == weights_path(service, adapter, version), context.answer


@then('the request fails with code "{code}" and outcome "{outcome}"')
def assert_error(context: Context, code: str, outcome: str) -> None:
    assert isinstance(context.error, AnswerError), (context.answer, context.error)
    assert (context.error.code, context.error.outcome) == (code, outcome), context.error


@then("no request ran twice and no adapter was unloaded in flight")
def assert_journals_consistent(context: Context) -> None:
    seen_ids: set[str] = set()
    for name, sidecar in context.deployment.sidecars.items():
        journal = context.deployment.upstream_journal(name)
        if sidecar.plan.service.type is ServiceType.PLAIN:
            ids = [call["key"] for call in journal["calls"]]
        else:
            assert journal["violations"] == [], journal["violations"]
            ids = [run["request_id"] for run in journal["runs"]]
        assert len(set(ids)) == len(ids), ids
        assert not seen_ids & set(ids), seen_ids & set(ids)
        seen_ids.update(ids)
