"""The WSGI application towards callers: routes, and what is shared."""

from collections.abc import Callable, Iterable
import http
import logging
import math
from typing import Any

import msgspec

from pollenfork import ids
from pollenfork import metrics
from pollenfork.entry import errors
from pollenfork.entry import progress
from pollenfork.entry import request
from pollenfork.entry import work
from pollenfork.settings import snapshot

_LOG = logging.getLogger(__name__)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_COMPLETIONS = ("/v1/chat/completions", "/v1/completions")
_SERVICES = "/services/"
_OPERATOR = "/operator/"
_MAX_TARGET_LENGTH = 4096


class Reply(msgspec.Struct, frozen=True):
    """A small reply, whole in memory."""

    status: http.HTTPStatus
    headers: list[tuple[str, str]]
    body: bytes


class Front:
    """Answers callers, the balancer's probes and the metrics scrape.

    Attributes:
        in_progress: The requests whose answer isn't handed over yet.
    """

    def __init__(
        self,
        worker: work.Worker,
        counters: metrics.Metrics,
        read_lookups: Callable[[], snapshot.Snapshot | None],
        is_ready: Callable[[], bool],
        operator: Callable[[Environ, StartResponse], Iterable[bytes]] | None,
    ) -> None:
        self._worker = worker
        self._metrics = counters
        self._read_lookups = read_lookups
        self._is_ready = is_ready
        self._operator = operator
        self.in_progress = progress.InProgress()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request, as PEP 3333 asks."""
        self.in_progress.enter()
        try:
            chunks = self._route(environ, start_response)
        except BaseException:
            self.in_progress.leave()
            raise
        return progress.Handover(chunks, self.in_progress.leave)

    def _route(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith(_OPERATOR) and self._operator:
            return self._operator(environ, start_response)
        if path in _COMPLETIONS or path.startswith(_SERVICES):
            return self._serve_work(environ, start_response)
        reply = self._serve_small(path, environ)
        return send_reply(start_response, reply)

    def _serve_work(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        lookups = self._read_lookups()
        if lookups is None or not self._is_ready():
            refusal = errors.Refusal(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE,
                code=errors.Code.STOPPING,
                reason="not_ready",
                retry_after_s=1.0,
                detail="This instance takes no new work; connect again."
                " The request was not run.",
            )
            return self._send_refusal(start_response, refusal)
        if environ["PATH_INFO"] in _COMPLETIONS:
            served = self._worker.complete(environ, lookups)
        else:
            served = self._worker.call_service(environ, lookups)
        if served.is_err():
            return self._send_refusal(start_response, served.unwrap_err())
        answer = served.unwrap()
        try:
            start_response(write_status(answer.status), answer.headers)
        except BaseException:
            progress.close_chunks(answer.chunks)
            raise
        return answer.chunks

    def _serve_small(self, path: str, environ: Environ) -> Reply:
        match path:
            case "/healthz":
                return Reply(http.HTTPStatus.OK, [], b"ok\n")
            case "/readyz":
                return self._report_ready()
            case "/metrics":
                body, kind = self._metrics.render()
                return Reply(http.HTTPStatus.OK, [("Content-Type", kind)], body)
            case "/v1/models":
                return self._list_models(environ)
        refusal = errors.Refusal(
            status=http.HTTPStatus.NOT_FOUND,
            code=errors.Code.UNKNOWN_PATH,
            detail="There is nothing at this path; see docs/http.md.",
        )
        return self._write_refusal(refusal)

    def _report_ready(self) -> Reply:
        if self._is_ready() and self._read_lookups():
            return Reply(http.HTTPStatus.OK, [], b"ready\n")
        return Reply(http.HTTPStatus.SERVICE_UNAVAILABLE, [], b"not ready\n")

    def _list_models(self, environ: Environ) -> Reply:
        lookups = self._read_lookups()
        if lookups is None:
            return self._report_ready()
        identity = request.identify(environ, lookups)
        if identity.is_err():
            return self._write_refusal(identity.unwrap_err())
        names = work.list_models(lookups.tree.root.endpoints)
        listed = _ModelList(data=[_Model(id=name) for name in names])
        headers = [("Content-Type", "application/json")]
        return Reply(http.HTTPStatus.OK, headers, msgspec.json.encode(listed))

    def _send_refusal(
        self, start_response: StartResponse, refusal: errors.Refusal
    ) -> Iterable[bytes]:
        return send_reply(start_response, self._write_refusal(refusal))

    def _write_refusal(self, refusal: errors.Refusal) -> Reply:
        reason = refusal.reason or refusal.code.value
        self._metrics.count(
            "pollenfork_refusals_total",
            code=refusal.code.value,
            reason=reason,
            outcome=refusal.outcome.value,
        )
        _LOG.info(
            "event=refused code=%s reason=%s outcome=%s status=%d",
            refusal.code.value,
            reason,
            refusal.outcome.value,
            refusal.status,
        )
        headers = [
            ("Content-Type", "application/json"),
            ("X-Outcome", refusal.outcome.value),
        ]
        if refusal.retry_after_s is not None:
            after = max(1, math.ceil(refusal.retry_after_s))
            headers.append(("Retry-After", str(after)))
        body = errors.write_body(refusal)
        return Reply(refusal.status, headers, body)


class _Model(msgspec.Struct, frozen=True, kw_only=True):
    id: ids.ModelName
    object: str = "model"
    created: int = 0
    owned_by: str = "pollenfork"


class _ModelList(msgspec.Struct, frozen=True, kw_only=True):
    object: str = "list"
    data: list[_Model]


def write_status(status: int) -> str:
    """Returns the status as WSGI wants it: the number and its phrase."""
    return f"{status} {http.HTTPStatus(status).phrase}"


def send_reply(start_response: StartResponse, reply: Reply) -> list[bytes]:
    """Sends a small reply with its length."""
    headers = [*reply.headers, ("Content-Length", str(len(reply.body)))]
    start_response(write_status(reply.status), headers)
    return [reply.body]
