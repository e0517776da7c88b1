"""Handles a request: authenticates, queues and relays it to an endpoint."""

from collections.abc import Callable, Mapping
import concurrent.futures
import http
from typing import Protocol

import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.answers import edges as answer_edges
from pollenfork.answers import errors as answer_errors
from pollenfork.answers import messages as answer_messages
from pollenfork.answers import session
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.entry import admission_asks
from pollenfork.entry import errors
from pollenfork.entry import idempotency
from pollenfork.entry import request
from pollenfork.entry import request_log
from pollenfork.entry import target
from pollenfork.settings import model
from pollenfork.settings import snapshot

CALLER_KEY = "pollenfork.caller"  # WSGI environ key of the connection.

_DISCONNECT_POLL_S = 0.25
_MS = 1000
_CHAT = "/v1/chat/completions"
_UNSUPPORTED_METHODS = frozenset({"CONNECT", "TRACE"})
_SERVICE_METHODS = (
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
)

Served = result.Result[session.Answer, errors.Refusal]


class Slots(session.Slots, Protocol):
    """The part of the scheduler that the entry uses."""

    def submit(
        self, ask: admission_messages.Ask
    ) -> concurrent.futures.Future[
        dispatch_messages.Grant | admission_messages.Refused
    ]:
        """Queues the request for a slot; the result is the decision."""


class RequestHandler:
    """Handles requests until the head of their answer is there."""

    def __init__(
        self,
        slots: Slots,
        relay: session.Relay,
        now: clock.Clock,
        body_limit: int,
        claims: idempotency.Claims | None = None,
    ) -> None:
        """Creates the handler.

        Args:
            slots: The scheduler.
            relay: Sends requests to endpoints and relays their answers.
            now: The clock.
            body_limit: Maximum size of a request's body, in bytes.
            claims: The ledger; without one, requests with an
                `Idempotency-Key` are refused.
        """
        self._idempotency = idempotency.IdempotencyGuard(claims, now)
        self._slots = slots
        self._relay = relay
        self._clock = now
        self._body_limit = body_limit

    def handle_completion(
        self,
        environ: request.Environ,
        settings: snapshot.Snapshot,
        log: request_log.RequestLog,
    ) -> Served:
        """Runs a completion request on a model runner."""
        identified = self._identify(environ, settings, log)
        if identified.is_err():
            return result.Err(identified.unwrap_err())
        read = request.read_body(environ, self._body_limit)
        if read.is_err():
            return result.Err(read.unwrap_err())
        chat = environ["PATH_INFO"] == _CHAT
        parsed = request.parse_prompt(read.unwrap(), chat)
        if parsed.is_err():
            return result.Err(parsed.unwrap_err())
        prompt = parsed.unwrap()
        if prompt.model not in list_models(settings.tree.root.endpoints):
            return refuse_model(prompt.model)
        identity = identified.unwrap()
        ask = admission_asks.make_model_ask(identity, settings, log, prompt)
        call = answer_messages.Call(
            request=ask.request,
            method="POST",
            path=environ["PATH_INFO"],
            headers=target.list_engine_headers(environ),
            body=read.unwrap(),
            streamed=bool(prompt.stream),
            idempotent=True,
            first_token_due=ask.first_token_due,
            give_up_at=ask.give_up_at,
        )
        return self._run(environ, ask, call, log)

    def handle_service_call(
        self,
        environ: request.Environ,
        settings: snapshot.Snapshot,
        log: request_log.RequestLog,
    ) -> Served:
        """Forwards a call to a plain service."""
        method = environ["REQUEST_METHOD"]
        if method in _UNSUPPORTED_METHODS:
            refused = request.check_method(environ, _SERVICE_METHODS)
            return result.Err(refused.unwrap_err())
        located = target.parse_service_target(environ)
        if located.is_err():
            return result.Err(located.unwrap_err())
        identified = self._identify(environ, settings, log)
        if identified.is_err():
            return result.Err(identified.unwrap_err())
        service_target = located.unwrap()
        service = settings.tree.root.services.get(service_target.service)
        if service is None:
            return _refuse_service(service_target.service)
        read = request.read_body(environ, self._body_limit)
        if read.is_err():
            return result.Err(read.unwrap_err())
        ask = admission_asks.make_service_ask(
            identified.unwrap(),
            settings,
            log,
            service_target.service,
            idempotent=method in service.repeatable_methods,
        )
        call = answer_messages.Call(
            request=ask.request,
            method=method,
            path=service_target.path,
            headers=target.list_service_headers(environ),
            body=read.unwrap(),
            streamed=False,
            idempotent=ask.idempotent,
            first_token_due=ask.first_token_due,
            give_up_at=ask.give_up_at,
            timeout_s=service.timeout_ms / _MS,
            engine=False,
            continuable=False,
        )
        return self._run(environ, ask, call, log)

    def _identify(
        self,
        environ: request.Environ,
        settings: snapshot.Snapshot,
        log: request_log.RequestLog,
    ) -> result.Result[request.Identity, errors.Refusal]:
        authenticated = request.authenticate(environ, settings)
        if authenticated.is_err():
            return result.Err(authenticated.unwrap_err())
        caller = authenticated.unwrap()
        log.set_caller(caller)
        chosen = request.choose_class(environ, caller, settings)
        if chosen.is_ok():
            log.service_class = chosen.unwrap().class_name
        return chosen

    def _run(
        self,
        environ: request.Environ,
        ask: admission_messages.Ask,
        call: answer_messages.Call,
        log: request_log.RequestLog,
    ) -> Served:
        header = environ.get(idempotency.HEADER)
        if header is None or (ask.service and ask.idempotent):
            caller = environ.get(CALLER_KEY)
            return self._run_once(environ, ask, call, log, caller)
        return self._idempotency.run(
            header,
            ask,
            call,
            lambda may_send: self._run_once(
                environ, ask, call, log, None, may_send
            ),
        )

    def _run_once(
        self,
        environ: request.Environ,
        ask: admission_messages.Ask,
        call: answer_messages.Call,
        log: request_log.RequestLog,
        caller: answer_edges.Caller | None,
        may_send: Callable[[], bool] | None = None,
    ) -> Served:
        decision = self._wait_for_slot(environ, ask)
        if isinstance(decision, admission_messages.Refused):
            return result.Err(errors.make_admission_refusal(decision))
        log.record_granted(decision.endpoint)
        if may_send and not may_send():
            self._release(decision)
            return _refuse_expired_claim()
        opened = self._relay.open(call, decision, caller)
        if opened.is_err():
            return result.Err(_make_failure_refusal(opened.unwrap_err()))
        return result.Ok(opened.unwrap())

    def _release(self, grant: dispatch_messages.Grant) -> None:
        ended = dispatch_messages.AttemptEnded(
            attempt=grant.attempt,
            how=dispatch_messages.AttemptEnd.NEVER_SENT,
            tokens=0,
            at=self._clock.monotonic(),
        )
        self._slots.report(ended)
        closed = dispatch_messages.RequestClosed(request=grant.request)
        self._slots.report(closed)

    def _wait_for_slot(
        self, environ: request.Environ, ask: admission_messages.Ask
    ) -> dispatch_messages.Grant | admission_messages.Refused:
        pending = self._slots.submit(ask)
        is_disconnected = environ.get(
            "waitress.client_disconnected", lambda: False
        )
        while True:
            try:
                return pending.result(timeout=_DISCONNECT_POLL_S)
            except concurrent.futures.TimeoutError:
                if is_disconnected():
                    withdrawn = admission_messages.Withdrawn(
                        request=ask.request
                    )
                    self._slots.report(withdrawn)


def list_models(
    endpoints: Mapping[ids.EndpointId, model.EndpointSettings],
) -> list[ids.ModelName]:
    """Returns the names of all models that the settings give an endpoint."""
    names = {
        ids.ModelName(name.partition("@")[0])
        for endpoint in endpoints.values()
        for name in endpoint.models
    }
    return sorted(names)


def _make_failure_refusal(
    failure: answer_errors.AnswerFailure,
) -> errors.Refusal:
    not_run = failure.outcome is failures.Outcome.NOT_RUN
    said = "was not run" if not_run else "may have run"
    code = errors.Code.ENDPOINT_FAILED
    if failure.cause is answer_errors.Cause.CALLER_GONE:
        code = errors.Code.CALLER_GONE
    return errors.Refusal(
        status=http.HTTPStatus.BAD_GATEWAY,
        code=code,
        outcome=failure.outcome,
        reason=failure.cause.value,
        retry_after_s=1.0 if not_run else None,
        detail=f"The endpoint gave no answer; the request {said}.",
    )


def refuse_model(name: str) -> result.Err[errors.Refusal]:
    """Returns the refusal for a model that no endpoint has."""
    return errors.refuse(
        http.HTTPStatus.NOT_FOUND,
        errors.Code.UNKNOWN_MODEL,
        f"No endpoint has the model {request.shorten(name)!r};"
        " GET /v1/models lists them.",
        param="model",
    )


def _refuse_expired_claim() -> result.Err[errors.Refusal]:
    return errors.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        errors.Code.RECORD_UNAVAILABLE,
        "The claim on the key lapsed; send the request again. It was not run.",
        reason="claim_lapsed",
        retry_after_s=1.0,
    )


def _refuse_service(name: str) -> result.Err[errors.Refusal]:
    return errors.refuse(
        http.HTTPStatus.NOT_FOUND,
        errors.Code.UNKNOWN_SERVICE,
        f"There is no service {request.shorten(name)!r}.",
    )
