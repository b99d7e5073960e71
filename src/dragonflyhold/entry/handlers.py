"""Request dispatch of the caller interface by path and method."""

import threading
import urllib.parse
from collections.abc import Callable
from typing import final

from dragonflyhold.entry import answers, lookups
from dragonflyhold.entry.caller_input import (
    PlainTarget,
    bad_request,
    parse_completion,
    parse_id,
    parse_permit_call,
    parse_plain_call,
    parse_sequence,
)
from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.http_server import CallerDisconnectedError, CallerExchange
from dragonflyhold.entry.request_run import RequestRun
from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError, not_run
from dragonflyhold.ids import RequestId
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.states import Outcome

_log = ComponentLogger("entry")

_PLAIN_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


@final
class CallerHandlers:
    """Handles caller requests; every failure is reported as a typed error."""

    def __init__(self, context: RunContext, is_ready: Callable[[], bool]) -> None:
        self._context = context
        self._is_ready = is_ready
        self._open_count = 0
        self._lock = threading.Lock()

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return self._open_count

    def handle(self, exchange: CallerExchange) -> None:
        """Handle one request."""
        self._count_open(1)
        try:
            self._dispatch(exchange)
        except RequestError as error:
            self._context.metrics.count_refusal(error.info.code.value)
            _reply_error(exchange, error.info)
        except CallerDisconnectedError:
            raise
        except OSError as error:
            # Reading the body timed out or failed, so no response can be delivered.
            raise CallerDisconnectedError from error
        except Exception:
            _log.exception(
                "Request handler raised an unexpected exception; the outcome is in doubt.",
                path=exchange.raw_path,
            )
            message = "internal error; the log of the entry daemon has details"
            _reply_error(exchange, RefusalInfo(ErrorCode.INTERNAL, message, Outcome.IN_DOUBT))
        finally:
            self._count_open(-1)

    def _count_open(self, change: int) -> None:
        with self._lock:
            self._open_count += change
            self._context.metrics.set_level("open_requests", self._open_count)

    def _dispatch(self, exchange: CallerExchange) -> None:
        if not exchange.raw_path.isascii():
            raise bad_request("the path must be ASCII")
        segments = exchange.raw_path.split("/")[1:]
        match segments:
            case ["healthz"]:
                _require_method(exchange, "GET")
                exchange.reply_json(200, {"status": "ok"})
            case ["readyz"]:
                _require_method(exchange, "GET")
                is_ready = self._is_ready()
                exchange.reply_json(200 if is_ready else 503, {"ready": is_ready})
            case ["metrics"]:
                _require_method(exchange, "GET")
                body, content_type = self._context.metrics.render()
                exchange.reply(200, {"Content-Type": content_type}, body)
            case ["v1", "completions"]:
                _require_method(exchange, "POST")
                self._complete(exchange)
            case ["v1", "permits"]:
                _require_method(exchange, "POST")
                self._issue_permits(exchange)
            case ["v1", "requests", request_id]:
                _require_method(exchange, "GET", "DELETE")
                self._request_state(exchange, _unquote_id(request_id))
            case ["v1", "requests", request_id, "answer"]:
                _require_method(exchange, "GET")
                self._resume(exchange, _unquote_id(request_id))
            case ["v1", "services", service, "call", *rest]:
                _require_method(exchange, *_PLAIN_METHODS)
                self._call_plain(exchange, urllib.parse.unquote(service), "/".join(rest))
            case _:
                raise not_run(ErrorCode.NOT_FOUND, "no such path")

    def _complete(self, exchange: CallerExchange) -> None:
        context = self._context
        body = exchange.read_body()
        call = parse_completion(body, exchange.headers, context.config.view, context.clock())
        run = RequestRun(call, context)
        if call.stream:
            answers.stream_completion(exchange, run, call, context)
        else:
            answers.reply_completion(exchange, run, call, context)

    def _call_plain(self, exchange: CallerExchange, service: str, path: str) -> None:
        context = self._context
        query = f"?{exchange.raw_query}" if exchange.raw_query else ""
        if not query.isascii():
            raise bad_request("the query must be ASCII")
        body = exchange.read_body()
        target = PlainTarget(exchange.method, f"/{path}{query}", exchange.headers)
        call = parse_plain_call(service, target, body, context.config.view, context.clock())
        answers.reply_plain(exchange, RequestRun(call, context), call, context)

    def _issue_permits(self, exchange: CallerExchange) -> None:
        body = exchange.read_body()
        call = parse_permit_call(body, exchange.headers, self._context.config.view)
        exchange.reply_json(200, lookups.issue_permits(call, self._context))

    def _request_state(self, exchange: CallerExchange, request_id: RequestId) -> None:
        if exchange.method == "DELETE":
            state = lookups.decline(request_id, self._context)
        else:
            state = lookups.look_up(request_id, self._context)
        exchange.reply_json(200, state, {"X-Request-Id": request_id})

    def _resume(self, exchange: CallerExchange, request_id: RequestId) -> None:
        start = parse_sequence(exchange.query("from") or "0")
        answers.resume_answer(exchange, request_id, start, self._context)


def _require_method(exchange: CallerExchange, *methods: str) -> None:
    if exchange.method not in methods:
        allowed = ", ".join(sorted(methods))
        raise not_run(ErrorCode.METHOD_NOT_ALLOWED, f"allowed: {allowed}")


def _unquote_id(text: str) -> RequestId:
    return parse_id(urllib.parse.unquote(text))


def _reply_error(exchange: CallerExchange, info: RefusalInfo) -> None:
    if exchange.has_started:
        # The status was already sent; closing the connection marks the response as incomplete.
        raise CallerDisconnectedError
    exchange.reply_error(info)
