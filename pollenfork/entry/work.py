"""The course of one request: classed, queued, dispatched, relayed."""

from collections.abc import Mapping
import concurrent.futures
import http
import logging
import math
from typing import Any, Protocol
import uuid

import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.answers import errors as answer_errors
from pollenfork.answers import messages as answer_messages
from pollenfork.answers import session
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.entry import errors
from pollenfork.entry import request
from pollenfork.entry import server
from pollenfork.settings import model
from pollenfork.settings import snapshot

_LOG = logging.getLogger(__name__)

_CHECK_CALLER_S = 0.25
_MS = 1000
_SERVICES = "/services/"
_DROPPED_HEADERS = frozenset(
    {"AUTHORIZATION", "HOST", "CONNECTION", "X_SERVICE_CLASS", "TE"}
)

Environ = Mapping[str, Any]
Served = result.Result[session.Answer, errors.Refusal]


class Slots(session.Slots, Protocol):
    """The scheduler as the entry needs it."""

    def submit(
        self, ask: admission_messages.Ask
    ) -> concurrent.futures.Future[
        dispatch_messages.Grant | admission_messages.Refused
    ]:
        """Asks for a slot."""


class Worker:
    """Takes a request from its head to the answer's first byte."""

    def __init__(
        self,
        slots: Slots,
        relay: session.Relay,
        now: clock.Clock,
        body_limit: int,
    ) -> None:
        self._slots = slots
        self._relay = relay
        self._clock = now
        self._body_limit = body_limit

    def complete(self, environ: Environ, lookups: snapshot.Snapshot) -> Served:
        """Serves a completion by a model runner."""
        identified = request.identify(environ, lookups)
        if identified.is_err():
            return result.Err(identified.unwrap_err())
        read = request.read_body(environ, self._body_limit)
        if read.is_err():
            return result.Err(read.unwrap_err())
        parsed = request.read_prompt(read.unwrap())
        if parsed.is_err():
            return result.Err(parsed.unwrap_err())
        prompt = parsed.unwrap()
        if prompt.model not in list_models(lookups.tree.root.endpoints):
            return _refuse(
                http.HTTPStatus.NOT_FOUND,
                errors.Code.UNKNOWN_MODEL,
                f"No endpoint has the model {prompt.model!r}.",
            )
        ask = self._make_ask(identified.unwrap(), lookups, prompt=prompt)
        return self._run(environ, ask, read.unwrap(), prompt.stream)

    def call_service(
        self, environ: Environ, lookups: snapshot.Snapshot
    ) -> Served:
        """Passes a call on to a plain service."""
        identified = request.identify(environ, lookups)
        if identified.is_err():
            return result.Err(identified.unwrap_err())
        name = environ["PATH_INFO"][len(_SERVICES) :].partition("/")[0]
        service = lookups.tree.root.services.get(ids.ServiceName(name))
        if service is None:
            return _refuse(
                http.HTTPStatus.NOT_FOUND,
                errors.Code.UNKNOWN_SERVICE,
                f"There is no service {name!r}.",
            )
        read = request.read_body(environ, self._body_limit)
        if read.is_err():
            return result.Err(read.unwrap_err())
        repeatable = environ["REQUEST_METHOD"] in service.repeatable_methods
        ask = self._make_ask(
            identified.unwrap(),
            lookups,
            service=ids.ServiceName(name),
            idempotent=repeatable,
        )
        return self._run(environ, ask, read.unwrap(), streamed=False)

    def _make_ask(
        self,
        identity: request.Identity,
        lookups: snapshot.Snapshot,
        prompt: request.Prompt | None = None,
        service: ids.ServiceName | None = None,
        idempotent: bool = True,
    ) -> admission_messages.Ask:
        now = self._clock.monotonic()
        chosen = identity.service_class
        caller = identity.caller
        target_s = chosen.target_first_token_ms / _MS
        return admission_messages.Ask(
            request=ids.RequestId(uuid.uuid4().hex),
            team=caller.team,
            account=caller.account,
            class_name=identity.class_name,
            tier=ids.Tier(chosen.tier),
            model=ids.ModelName(prompt.model if prompt else ""),
            service=service,
            arrived=now,
            first_token_due=now + target_s,
            give_up_at=now + chosen.max_wait_ms / _MS,
            late_refused=chosen.when_late is model.LatePolicy.REFUSE,
            protected=chosen.protected,
            max_waiting=chosen.max_waiting,
            minimum_share=chosen.minimum_share,
            account_limit=caller.settings.max_in_flight,
            team_limit=lookups.tree.teams[caller.team].max_in_flight,
            retry_ratio=chosen.retry_ratio,
            hedge=chosen.hedge,
            prefix=request.hash_prefix(prompt) if prompt else 0,
            prompt_tokens=request.estimate_tokens(prompt) if prompt else 0,
            max_tokens=prompt.read_limit() if prompt else None,
            idempotent=idempotent,
        )

    def _run(
        self,
        environ: Environ,
        ask: admission_messages.Ask,
        body: bytes,
        streamed: bool,
    ) -> Served:
        decision = self._wait_for_slot(environ, ask)
        if isinstance(decision, admission_messages.Refused):
            return result.Err(errors.describe_refused(decision))
        _LOG.info(
            "event=granted request=%s class=%s tier=%d endpoint=%s wait_ms=%d",
            ask.request,
            ask.class_name,
            ask.tier,
            decision.endpoint,
            math.floor((self._clock.monotonic() - ask.arrived) * _MS),
        )
        call = answer_messages.Call(
            request=ask.request,
            method=environ["REQUEST_METHOD"],
            path=_write_target(environ),
            headers=_list_headers(environ),
            body=body,
            streamed=streamed,
            idempotent=ask.idempotent,
            first_token_due=ask.first_token_due,
            give_up_at=ask.give_up_at,
            engine=ask.service is None,
        )
        caller = environ.get(server.CALLER)
        opened = self._relay.open(call, decision, caller)
        if opened.is_err():
            self._close(ask)
            return result.Err(_describe_failure(opened.unwrap_err()))
        return result.Ok(opened.unwrap())

    def _wait_for_slot(
        self, environ: Environ, ask: admission_messages.Ask
    ) -> dispatch_messages.Grant | admission_messages.Refused:
        pending = self._slots.submit(ask)
        is_gone = environ.get("waitress.client_disconnected", lambda: False)
        while True:
            try:
                return pending.result(timeout=_CHECK_CALLER_S)
            except concurrent.futures.TimeoutError:
                if is_gone():
                    withdrawn = admission_messages.Withdrawn(
                        request=ask.request
                    )
                    self._slots.report(withdrawn)

    def _close(self, ask: admission_messages.Ask) -> None:
        closed = dispatch_messages.RequestClosed(request=ask.request)
        self._slots.report(closed)


def list_models(
    endpoints: Mapping[ids.EndpointId, model.EndpointSettings],
) -> list[ids.ModelName]:
    """Returns the names of the models that any endpoint has by plan."""
    names = {
        ids.ModelName(name.partition("@")[0])
        for endpoint in endpoints.values()
        for name in endpoint.models
    }
    return sorted(names)


def _write_target(environ: Environ) -> str:
    query = environ.get("QUERY_STRING", "")
    path: str = environ["PATH_INFO"]
    return f"{path}?{query}" if query else path


def _list_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and name[5:] not in _DROPPED_HEADERS
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _describe_failure(failure: answer_errors.AnswerFailure) -> errors.Refusal:
    not_run = failure.outcome is failures.Outcome.NOT_RUN
    said = "was not run" if not_run else "may have run"
    return errors.Refusal(
        status=http.HTTPStatus.BAD_GATEWAY,
        code=errors.Code.ENDPOINT_FAILED,
        outcome=failure.outcome,
        retry_after_s=1.0 if not_run else None,
        detail=f"The endpoint gave no answer; the request {said}.",
    )


def _refuse(
    status: http.HTTPStatus, code: errors.Code, detail: str
) -> result.Err[errors.Refusal]:
    return result.Err(errors.Refusal(status=status, code=code, detail=detail))
