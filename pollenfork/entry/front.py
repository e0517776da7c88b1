"""The WSGI application for callers: routing and the built-in paths."""

from collections.abc import Callable, Iterable
import functools
import http
import logging
import sys
from typing import Any

import msgspec
import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork import metrics
from pollenfork.answers import session
from pollenfork.entry import errors
from pollenfork.entry import progress
from pollenfork.entry import replies
from pollenfork.entry import request
from pollenfork.entry import request_handler
from pollenfork.entry import request_log
from pollenfork.settings import snapshot

_LOG = logging.getLogger(__name__)

Environ = dict[str, Any]
StartResponse = replies.StartResponse

_COMPLETIONS = ("/v1/chat/completions", "/v1/completions")
_MODELS = "/v1/models"
_SERVICES = "/services/"
_OPERATOR = "/operator/"
_READ_METHODS = ("GET", "HEAD")
# Hop-by-hop headers, which WSGI applications must not send (PEP 3333);
# waitress rejects them.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)

_BuiltinReply = result.Result[replies.Reply, errors.Refusal]


class Front:
    """Serves callers, the load balancer's probes and metrics scrapes.

    Attributes:
        in_progress: Counts the requests whose answer isn't handed to the server
            yet.
        request_logs: Creates the log of each request.
    """

    def __init__(
        self,
        handler: request_handler.RequestHandler,
        counters: metrics.Metrics,
        get_settings: Callable[[], snapshot.Snapshot | None],
        is_ready: Callable[[], bool],
        operator: Callable[[Environ, StartResponse], Iterable[bytes]] | None,
        now: clock.Clock | None = None,
        make_request_id: Callable[[], str] | None = None,
    ) -> None:
        self._handler = handler
        self._metrics = counters
        self._get_settings = get_settings
        self._is_ready = is_ready
        self._operator = operator
        self.in_progress = progress.InProgress()
        self.request_logs = request_log.RequestLogFactory(
            counters,
            now or clock.SystemClock(),
            make_request_id or request_log.make_request_id,
        )
        self._builtin: dict[str, Callable[[Environ], _BuiltinReply]] = {
            "/healthz": self._report_health,
            "/readyz": self._report_ready,
            "/metrics": self._report_metrics,
            _MODELS: self._list_models,
        }

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request, as a WSGI application (PEP 3333)."""
        self.in_progress.enter()
        try:
            chunks = self._serve(environ, start_response)
        except BaseException:
            self.in_progress.leave()
            raise
        return progress.CloseOnceChunks(chunks, self.in_progress.leave)

    def record_refusal(
        self,
        refusal: errors.Refusal,
        log: request_log.RequestLog | None = None,
    ) -> replies.Reply:
        """Counts and logs a refusal and returns the reply to the caller."""
        log = log or self.request_logs.start()
        log.record_refused(refusal)
        reply = replies.make_refusal(refusal)
        reply.headers.append(("X-Request-Id", log.request))
        return reply

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        log = self.request_logs.start()
        try:
            return self._route(environ, start_response, log)
        except Exception:
            _LOG.exception("event=request_failed request=%s", log.request)
            reply = self.record_refusal(_make_internal_error(), log)
            method = environ["REQUEST_METHOD"]
            return replies.send_reply(
                start_response, reply, method, sys.exc_info()
            )

    def _route(
        self,
        environ: Environ,
        start_response: StartResponse,
        log: request_log.RequestLog,
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith(_OPERATOR) and self._operator:
            return self._operator(environ, start_response)
        checked = request.check_head(environ)
        if checked.is_err():
            refusal = checked.unwrap_err()
        elif path in _COMPLETIONS or path.startswith(_SERVICES):
            served = self._handle_request(environ, log)
            if served.is_ok():
                return self._send_answer(served.unwrap(), start_response, log)
            refusal = served.unwrap_err()
        else:
            builtin = self._serve_builtin(path, environ)
            if builtin.is_ok():
                method = environ["REQUEST_METHOD"]
                return replies.send_reply(
                    start_response, builtin.unwrap(), method
                )
            refusal = builtin.unwrap_err()
        reply = self.record_refusal(refusal, log)
        method = environ["REQUEST_METHOD"]
        return replies.send_reply(start_response, reply, method)

    def _handle_request(
        self, environ: Environ, log: request_log.RequestLog
    ) -> request_handler.Served:
        settings = self._get_settings()
        if settings is None or not self._is_ready():
            return result.Err(_make_not_ready())
        if environ["PATH_INFO"] not in _COMPLETIONS:
            return self._handler.handle_service_call(environ, settings, log)
        checked = request.check_method(environ, ("POST",))
        if checked.is_err():
            return result.Err(checked.unwrap_err())
        return self._handler.handle_completion(environ, settings, log)

    def _send_answer(
        self,
        answer: session.Answer,
        start_response: StartResponse,
        log: request_log.RequestLog,
    ) -> Iterable[bytes]:
        headers = _list_headers(answer)
        headers.append(("X-Request-Id", log.request))
        try:
            start_response(replies.format_status(answer.status), headers)
        except BaseException:
            progress.close_chunks(answer.chunks)
            raise
        return progress.ObservedChunks(
            answer.chunks,
            log.record_first_bytes,
            functools.partial(log.record_end, answer.status),
        )

    def _serve_builtin(self, path: str, environ: Environ) -> _BuiltinReply:
        serve = self._builtin.get(path)
        if path.startswith(_MODELS + "/"):
            serve = self._show_model
        if serve is None:
            return errors.refuse(
                http.HTTPStatus.NOT_FOUND,
                errors.Code.UNKNOWN_PATH,
                "There is nothing at this path; see docs/http.md.",
            )
        checked = request.check_method(environ, _READ_METHODS)
        if checked.is_err():
            return result.Err(checked.unwrap_err())
        return serve(environ)

    def _report_health(self, environ: Environ) -> _BuiltinReply:
        del environ
        return result.Ok(replies.make_text(http.HTTPStatus.OK, "ok"))

    def _report_ready(self, environ: Environ) -> _BuiltinReply:
        del environ
        status, text = http.HTTPStatus.SERVICE_UNAVAILABLE, "not ready"
        if self._is_ready() and self._get_settings():
            status, text = http.HTTPStatus.OK, "ready"
        return result.Ok(replies.make_text(status, text))

    def _report_metrics(self, environ: Environ) -> _BuiltinReply:
        del environ
        body, kind = self._metrics.render()
        headers = [("Content-Type", kind)]
        return result.Ok(replies.Reply(http.HTTPStatus.OK, headers, body))

    def _list_models(self, environ: Environ) -> _BuiltinReply:
        names = self._list_model_names(environ)
        if names.is_err():
            return result.Err(names.unwrap_err())
        listed = _ModelList(data=[_Model(id=n) for n in names.unwrap()])
        return result.Ok(replies.make_json(listed))

    def _show_model(self, environ: Environ) -> _BuiltinReply:
        names = self._list_model_names(environ)
        if names.is_err():
            return result.Err(names.unwrap_err())
        name = environ["PATH_INFO"][len(_MODELS) + 1 :]
        if name not in names.unwrap():
            return request_handler.refuse_model(name)
        return result.Ok(replies.make_json(_Model(id=name)))

    def _list_model_names(
        self, environ: Environ
    ) -> result.Result[list[ids.ModelName], errors.Refusal]:
        settings = self._get_settings()
        if settings is None:
            return result.Err(_make_not_ready())
        authenticated = request.authenticate(environ, settings)
        if authenticated.is_err():
            return result.Err(authenticated.unwrap_err())
        return result.Ok(
            request_handler.list_models(settings.tree.root.endpoints)
        )


class _Model(msgspec.Struct, frozen=True, kw_only=True):
    id: ids.ModelName
    object: str = "model"
    created: int = 0
    owned_by: str = "pollenfork"


class _ModelList(msgspec.Struct, frozen=True, kw_only=True):
    object: str = "list"
    data: list[_Model]


def _list_headers(answer: session.Answer) -> list[tuple[str, str]]:
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _HOP_BY_HOP
    ]
    has_outcome = any(name.lower() == "x-outcome" for name, _ in headers)
    if (
        answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        and not has_outcome
    ):
        headers.append(("X-Outcome", failures.Outcome.UNKNOWN.value))
    return headers


def _make_not_ready() -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        code=errors.Code.STOPPING,
        reason="not_ready",
        retry_after_s=1.0,
        detail="This instance takes no new work; connect again."
        " The request was not run.",
    )


def _make_internal_error() -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.INTERNAL_SERVER_ERROR,
        code=errors.Code.INTERNAL_ERROR,
        outcome=failures.Outcome.UNKNOWN,
        detail="The router failed; whether the request ran is not known.",
    )
