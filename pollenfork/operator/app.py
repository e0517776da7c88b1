"""The WSGI application towards operators, under `/operator/`."""

from collections.abc import Callable, Iterable
import http
import logging

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork import metrics
from pollenfork.operator import edges
from pollenfork.operator import errors
from pollenfork.operator import messages
from pollenfork.operator import replies
from pollenfork.operator import request
from pollenfork.operator import tree
from pollenfork.settings import edges as settings_edges
from pollenfork.settings import errors as settings_errors
from pollenfork.settings import messages as settings_messages

_LOG = logging.getLogger(__name__)

_PREFIX = "/operator/"
_DRAIN = "drain"


class Caller(msgspec.Struct, frozen=True):
    """An operator: the digest of the token and what it is bound to."""

    digest: str
    rights: settings_messages.Rights


class Operator:
    """Answers operators; the caller mounts it at `/operator/`."""

    def __init__(
        self,
        instance: ids.InstanceId,
        settings: settings_edges.SettingsService,
        instances: edges.Instances,
        endpoints: edges.Endpoints,
        counters: metrics.Metrics,
        make_write_id: Callable[[], ids.WriteId],
    ) -> None:
        """Wires the interface.

        Args:
            instance: Who answers.
            settings: Reads and writes of the settings.
            instances: The entry instances.
            endpoints: The endpoints and orders to them.
            counters: Where refusals are counted.
            make_write_id: Returns an id for a write that came without one.
        """
        self._instance = instance
        self._settings = settings
        self._tree = tree.TreeHandler(settings, make_write_id)
        self._instances = instances
        self._endpoints = endpoints
        self._metrics = counters

    def __call__(
        self, environ: request.Environ, start_response: replies.StartResponse
    ) -> Iterable[bytes]:
        """Serves one request, as PEP 3333 asks."""
        served = self._serve(environ)
        if isinstance(served, result.Ok):
            return replies.send(start_response, served.ok_value)
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
        return replies.send(start_response, replies.write_refusal(refusal))

    def _serve(self, environ: request.Environ) -> tree.Outcome:
        token = request.read_token(environ)
        if isinstance(token, result.Err):
            return token
        rights = self._settings.find_rights(token.ok_value)
        if isinstance(rights, result.Err):
            return result.Err(errors.refuse(rights.err_value))
        return self._route(environ, Caller(token.ok_value, rights.ok_value))

    def _route(self, environ: request.Environ, caller: Caller) -> tree.Outcome:
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
                    lambda: self._tree.history(caller.digest, rest, environ),
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
        self, environ: request.Environ, caller: Caller, path: str
    ) -> tree.Outcome:
        match environ["REQUEST_METHOD"]:
            case "GET":
                return self._tree.get(caller.digest, path)
            case "PUT":
                return self._tree.put(caller.digest, path, environ)
        return result.Err(_refuse_method("GET, PUT"))

    def _report_status(self) -> tree.Outcome:
        instances = self._instances.list_instances()
        newest = max(
            (report.revision for report in instances),
            default=ids.Revision(0),
        )
        status = messages.StatusReply(
            instance=self._instance, newest=newest, instances=instances
        )
        return result.Ok(replies.Reply(msgspec.json.encode(status)))

    def _list_endpoints(self) -> tree.Outcome:
        in_force = self._settings.get_tree()
        if in_force is None:
            return result.Err(errors.refuse(settings_errors.NotReady()))
        seen = self._endpoints.list_endpoints()
        live = {endpoint.endpoint: endpoint for endpoint in seen}
        listed = tuple(
            messages.EndpointEntry(
                endpoint=name, settings=settings, live=live.get(name)
            )
            for name, settings in in_force.root.endpoints.items()
        )
        reply = messages.EndpointsReply(
            revision=in_force.revision, endpoints=listed
        )
        return result.Ok(replies.Reply(msgspec.json.encode(reply)))

    def _drain(self, caller: Caller, endpoint: ids.EndpointId) -> tree.Outcome:
        if not caller.rights.everything:
            detail = "only the root's tokens may drain an endpoint"
            failure = settings_errors.Forbidden(detail=detail)
            return result.Err(errors.refuse(failure))
        in_force = self._settings.get_tree()
        if in_force is None or endpoint not in in_force.root.endpoints:
            return result.Err(_refuse_path(f"no endpoint {endpoint}"))
        drained = self._endpoints.drain(endpoint)
        if isinstance(drained, result.Err):
            return result.Err(_refuse_drain(drained.err_value))
        _LOG.info("event=drain_ordered endpoint=%s", endpoint)
        body = msgspec.json.encode(messages.DrainReply(endpoint=endpoint))
        return result.Ok(replies.Reply(body, status=http.HTTPStatus.ACCEPTED))


def _only(
    method: str, environ: request.Environ, serve: Callable[[], tree.Outcome]
) -> tree.Outcome:
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


def _refuse_drain(failure: failures.Failure) -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        code=errors.Code.UNAVAILABLE,
        outcome=failures.Outcome.UNKNOWN,
        detail=f"{type(failure).__name__}: {failure.detail}",
        retry_after_s=1.0,
    )
