"""The WSGI application towards operators, under `/operator/`."""

from collections.abc import Callable, Collection, Iterable
import http
import logging
import math
from typing import Any

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork import metrics
from pollenfork.operator import edges
from pollenfork.operator import errors
from pollenfork.operator import messages
from pollenfork.operator import request
from pollenfork.operator import tree
from pollenfork.settings import authority
from pollenfork.settings import state

_LOG = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Outcome = result.Result[tree.Reply, errors.Refusal]

_PREFIX = "/operator/"
_DRAIN = "drain"


class Operator:
    """Answers operators; the caller mounts it at `/operator/`."""

    def __init__(
        self,
        instance: ids.InstanceId,
        handler: tree.TreeHandler,
        get_in_force: Callable[[], state.InForce | None],
        instances: edges.Instances,
        endpoints: edges.Endpoints,
        counters: metrics.Metrics,
        first_operators: Collection[str] = (),
    ) -> None:
        """Wires the interface.

        Args:
            instance: Who answers.
            handler: Reads and writes of the settings.
            get_in_force: Returns the settings in force here.
            instances: The entry instances.
            endpoints: The endpoints and orders to them.
            counters: Where refusals are counted.
            first_operators: See `authority.find_rights`.
        """
        self._instance = instance
        self._tree = handler
        self._get_in_force = get_in_force
        self._instances = instances
        self._endpoints = endpoints
        self._metrics = counters
        self._first_operators = first_operators

    def __call__(
        self, environ: request.Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request, as PEP 3333 asks."""
        served = self._serve(environ)
        if isinstance(served, result.Ok):
            return _send(start_response, served.ok_value)
        refusal = served.err_value
        self._metrics.count(
            "pollenfork_operator_refusals_total", code=refusal.code.value
        )
        _LOG.info(
            "event=operator_refused method=%s path=%s code=%s",
            environ["REQUEST_METHOD"],
            ascii(environ["PATH_INFO"]),
            refusal.code.value,
        )
        return _send(start_response, _write_refusal(refusal))

    def _serve(self, environ: request.Environ) -> Outcome:
        token = request.read_token(environ)
        if isinstance(token, result.Err):
            return token
        digest = token.ok_value
        in_force = self._get_in_force()
        rights = authority.find_rights(
            (in_force or state.EMPTY).tree, digest, self._first_operators
        )
        if rights is None and in_force is None:
            return result.Err(_refuse_not_ready())
        if rights is None:
            return result.Err(request.refuse_token("nobody has this token"))
        return self._route(environ, tree.Caller(digest, rights))

    def _route(self, environ: request.Environ, caller: tree.Caller) -> Outcome:
        path = environ["PATH_INFO"].removeprefix(_PREFIX)
        part, _, rest = path.partition("/")
        steps = [step for step in rest.split("/") if step]
        match part:
            case "settings":  # The rest is a path of the tree.
                return self._serve_settings(environ, caller, rest)
            case "settings-history":
                return _only(
                    "GET",
                    environ,
                    lambda: self._tree.history(caller, rest, environ),
                )
            case "status" if not steps:
                return _only("GET", environ, self._report_status)
            case "endpoints" if not steps:
                return _only("GET", environ, self._list_endpoints)
            case "endpoints" if len(steps) == 2 and steps[1] == _DRAIN:
                endpoint = ids.EndpointId(steps[0])
                return _only(
                    "POST", environ, lambda: self._drain(caller, endpoint)
                )
        return result.Err(_refuse_path("see docs/operators/settings.md"))

    def _serve_settings(
        self, environ: request.Environ, caller: tree.Caller, path: str
    ) -> Outcome:
        match environ["REQUEST_METHOD"]:
            case "GET":
                return self._tree.get(caller, path)
            case "PUT":
                return self._tree.put(caller, path, environ)
        return result.Err(_refuse_method("GET, PUT"))

    def _report_status(self) -> Outcome:
        instances = self._instances.list_instances()
        newest = max(
            (report.revision for report in instances),
            default=ids.Revision(0),
        )
        status = messages.StatusReply(
            instance=self._instance, newest=newest, instances=instances
        )
        return result.Ok(tree.Reply(msgspec.json.encode(status)))

    def _list_endpoints(self) -> Outcome:
        in_force = self._get_in_force()
        if in_force is None:
            return result.Err(_refuse_not_ready())
        live = {
            seen.endpoint: seen for seen in self._endpoints.list_endpoints()
        }
        listed = tuple(
            messages.EndpointEntry(
                endpoint=name, settings=settings, live=live.get(name)
            )
            for name, settings in in_force.tree.root.endpoints.items()
        )
        reply = messages.EndpointsReply(
            revision=in_force.revision, endpoints=listed
        )
        return result.Ok(tree.Reply(msgspec.json.encode(reply)))

    def _drain(self, caller: tree.Caller, endpoint: ids.EndpointId) -> Outcome:
        in_force = self._get_in_force()
        if not caller.rights.everything:
            detail = "only the root's tokens may drain an endpoint"
            return result.Err(
                errors.Refusal(
                    status=http.HTTPStatus.FORBIDDEN,
                    code=errors.Code.FORBIDDEN,
                    detail=detail,
                )
            )
        if not in_force or endpoint not in in_force.tree.root.endpoints:
            return result.Err(_refuse_path(f"no endpoint {endpoint}"))
        drained = self._endpoints.drain(endpoint)
        if isinstance(drained, result.Err):
            failure = drained.err_value
            detail = f"{type(failure).__name__}: {failure.detail}"
            return result.Err(
                errors.Refusal(
                    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
                    code=errors.Code.UNAVAILABLE,
                    outcome=failures.Outcome.UNKNOWN,
                    detail=detail,
                    retry_after_s=1.0,
                )
            )
        _LOG.info("event=drain_ordered endpoint=%s", endpoint)
        body = msgspec.json.encode(messages.DrainReply(endpoint=endpoint))
        return result.Ok(tree.Reply(body, status=http.HTTPStatus.ACCEPTED))


def _only(
    method: str, environ: request.Environ, serve: Callable[[], Outcome]
) -> Outcome:
    if environ["REQUEST_METHOD"] == method:
        return serve()
    return result.Err(_refuse_method(method))


def _refuse_method(allow: str) -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.METHOD_NOT_ALLOWED,
        code=errors.Code.METHOD_NOT_ALLOWED,
        detail=f"this path has {allow}",
        allow=allow,
    )


def _refuse_path(detail: str) -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.NOT_FOUND,
        code=errors.Code.UNKNOWN_PATH,
        detail=detail,
    )


def _refuse_not_ready() -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        code=errors.Code.NOT_READY,
        detail="no settings are in force here yet",
        retry_after_s=1.0,
    )


def _write_refusal(refusal: errors.Refusal) -> tree.Reply:
    headers = [("X-Outcome", refusal.outcome.value)]
    if refusal.status is http.HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", 'Bearer realm="operator"'))
    if refusal.allow:
        headers.append(("Allow", refusal.allow))
    if refusal.current is not None:
        headers.append(("ETag", f'"{refusal.current}"'))
    if refusal.retry_after_s is not None:
        after = max(1, math.ceil(refusal.retry_after_s))
        headers.append(("Retry-After", str(after)))
    body = errors.write_body(refusal)
    return tree.Reply(body, tuple(headers), refusal.status)


def _send(start_response: StartResponse, reply: tree.Reply) -> list[bytes]:
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(reply.body))),
        ("Cache-Control", "no-store"),
        *reply.headers,
    ]
    start_response(f"{reply.status.value} {reply.status.phrase}", headers)
    return [reply.body]
