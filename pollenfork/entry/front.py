"""The WSGI application towards callers: routes, and what is shared."""

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
_READ = ("GET", "HEAD")
# What waitress refuses to send on; each hop has its own.
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

_Small = result.Result[replies.Reply, errors.Refusal]


class Front:
    """Answers callers, the balancer's probes and the metrics scrape.

    Attributes:
        in_progress: The requests whose answer isn't handed over yet.
        journal: Counts and logs each request.
    """

    def __init__(
        self,
        worker: request_handler.RequestHandler,
        counters: metrics.Metrics,
        read_lookups: Callable[[], snapshot.Snapshot | None],
        is_ready: Callable[[], bool],
        operator: Callable[[Environ, StartResponse], Iterable[bytes]] | None,
        now: clock.Clock | None = None,
        make_request_id: Callable[[], str] | None = None,
    ) -> None:
        self._worker = worker
        self._metrics = counters
        self._read_lookups = read_lookups
        self._is_ready = is_ready
        self._operator = operator
        self.in_progress = progress.InProgress()
        self.journal = request_log.RequestLogFactory(
            counters,
            now or clock.SystemClock(),
            make_request_id or request_log.make_request_id,
        )
        self._small: dict[str, Callable[[Environ], _Small]] = {
            "/healthz": self._report_health,
            "/readyz": self._report_ready,
            "/metrics": self._report_metrics,
            _MODELS: self._list_models,
        }

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request, as PEP 3333 asks."""
        self.in_progress.enter()
        try:
            chunks = self._serve(environ, start_response)
        except BaseException:
            self.in_progress.leave()
            raise
        return progress.CloseOnceChunks(chunks, self.in_progress.leave)

    def write_refusal(
        self,
        refusal: errors.Refusal,
        record: request_log.RequestLog | None = None,
    ) -> replies.Reply:
        """Counts and logs a refusal and returns what the caller gets."""
        record = record or self.journal.begin()
        record.note_refused(refusal)
        reply = replies.make_refusal(refusal)
        reply.headers.append(("X-Request-Id", record.request))
        return reply

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        record = self.journal.begin()
        try:
            return self._route(environ, start_response, record)
        except Exception:
            _LOG.exception("event=request_failed request=%s", record.request)
            reply = self.write_refusal(_make_internal_error(), record)
            method = environ["REQUEST_METHOD"]
            return replies.send_reply(
                start_response, reply, method, sys.exc_info()
            )

    def _route(
        self,
        environ: Environ,
        start_response: StartResponse,
        record: request_log.RequestLog,
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith(_OPERATOR) and self._operator:
            return self._operator(environ, start_response)
        checked = request.check_head(environ)
        if checked.is_err():
            refusal = checked.unwrap_err()
        elif path in _COMPLETIONS or path.startswith(_SERVICES):
            served = self._serve_work(environ, record)
            if served.is_ok():
                return self._pass_on(served.unwrap(), start_response, record)
            refusal = served.unwrap_err()
        else:
            small = self._serve_small(path, environ)
            if small.is_ok():
                method = environ["REQUEST_METHOD"]
                return replies.send_reply(
                    start_response, small.unwrap(), method
                )
            refusal = small.unwrap_err()
        reply = self.write_refusal(refusal, record)
        method = environ["REQUEST_METHOD"]
        return replies.send_reply(start_response, reply, method)

    def _serve_work(
        self, environ: Environ, record: request_log.RequestLog
    ) -> request_handler.Served:
        lookups = self._read_lookups()
        if lookups is None or not self._is_ready():
            return result.Err(_make_not_ready())
        if environ["PATH_INFO"] not in _COMPLETIONS:
            return self._worker.call_service(environ, lookups, record)
        checked = request.check_method(environ, ("POST",))
        if checked.is_err():
            return result.Err(checked.unwrap_err())
        return self._worker.complete(environ, lookups, record)

    def _pass_on(
        self,
        answer: session.Answer,
        start_response: StartResponse,
        record: request_log.RequestLog,
    ) -> Iterable[bytes]:
        headers = _list_headers(answer)
        headers.append(("X-Request-Id", record.request))
        try:
            start_response(replies.format_status(answer.status), headers)
        except BaseException:
            progress.close_chunks(answer.chunks)
            raise
        return progress.ObservedChunks(
            answer.chunks,
            record.note_first,
            functools.partial(record.note_end, answer.status),
        )

    def _serve_small(self, path: str, environ: Environ) -> _Small:
        serve = self._small.get(path)
        if path.startswith(_MODELS + "/"):
            serve = self._show_model
        if serve is None:
            return errors.refuse(
                http.HTTPStatus.NOT_FOUND,
                errors.Code.UNKNOWN_PATH,
                "There is nothing at this path; see docs/http.md.",
            )
        checked = request.check_method(environ, _READ)
        if checked.is_err():
            return result.Err(checked.unwrap_err())
        return serve(environ)

    def _report_health(self, environ: Environ) -> _Small:
        del environ
        return result.Ok(replies.make_text(http.HTTPStatus.OK, "ok"))

    def _report_ready(self, environ: Environ) -> _Small:
        del environ
        status, text = http.HTTPStatus.SERVICE_UNAVAILABLE, "not ready"
        if self._is_ready() and self._read_lookups():
            status, text = http.HTTPStatus.OK, "ready"
        return result.Ok(replies.make_text(status, text))

    def _report_metrics(self, environ: Environ) -> _Small:
        del environ
        body, kind = self._metrics.render()
        headers = [("Content-Type", kind)]
        return result.Ok(replies.Reply(http.HTTPStatus.OK, headers, body))

    def _list_models(self, environ: Environ) -> _Small:
        names = self._read_models(environ)
        if names.is_err():
            return result.Err(names.unwrap_err())
        listed = _ModelList(data=[_Model(id=n) for n in names.unwrap()])
        return result.Ok(replies.make_json(listed))

    def _show_model(self, environ: Environ) -> _Small:
        names = self._read_models(environ)
        if names.is_err():
            return result.Err(names.unwrap_err())
        name = environ["PATH_INFO"][len(_MODELS) + 1 :]
        if name not in names.unwrap():
            return request_handler.refuse_model(name)
        return result.Ok(replies.make_json(_Model(id=name)))

    def _read_models(
        self, environ: Environ
    ) -> result.Result[list[ids.ModelName], errors.Refusal]:
        lookups = self._read_lookups()
        if lookups is None:
            return result.Err(_make_not_ready())
        authenticated = request.authenticate(environ, lookups)
        if authenticated.is_err():
            return result.Err(authenticated.unwrap_err())
        return result.Ok(
            request_handler.list_models(lookups.tree.root.endpoints)
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
    stated = any(name.lower() == "x-outcome" for name, _ in headers)
    if answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR and not stated:
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
