"""The WSGI application for operators, under `/operator/`."""

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
_DRAIN_ACTION = "drain"


class Caller(msgspec.Struct, frozen=True):
    """An authenticated operator: the token's digest and its rights."""

    digest: str
    rights: settings_messages.Rights


class Operator:
    """WSGI application to be mounted at `/operator/`."""

    def __init__(
        self,
        instance: ids.InstanceId,
        settings: settings_edges.SettingsService,
        instances: edges.Instances,
        endpoints: edges.Endpoints,
        counters: metrics.Metrics,
        make_write_id: Callable[[], ids.WriteId],
    ) -> None:
        """Creates the application.

        Args:
            instance: The instance that answers.
            settings: Reads and writes the settings.
            instances: Lists the entry instances.
            endpoints: Lists and drains the endpoints.
            counters: Counts refusals.
            make_write_id: Generates an id for a write sent without one.
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
        """Serves one request, as specified by PEP 3333."""
        outcome = self._serve(environ)
        if isinstance(outcome, result.Ok):
            return replies.send(start_response, outcome.ok_value)
        refusal = outcome.err_value
        self._metrics.count(
            "pollenfork_operator_refusals_total", code=refusal.code.value
        )
        _LOG.info(
            "event=operator_refused method=%s path=%s code=%s",
            environ["REQUEST_METHOD"],
            ascii(environ["PATH_INFO"]),
            refusal.code.value,
        )
        return replies.send(start_response, replies.make_refusal(refusal))

    def _serve(self, environ: request.Environ) -> tree.Outcome:
        token = request.read_token(environ)
        if isinstance(token, result.Err):
            return token
        rights = self._settings.find_rights(token.ok_value)
        if isinstance(rights, result.Err):
            return result.Err(errors.make_settings_refusal(rights.err_value))
        return self._route(environ, Caller(token.ok_value, rights.ok_value))

    def _route(self, environ: request.Environ, caller: Caller) -> tree.Outcome:
        path = environ["PATH_INFO"].removeprefix(_PREFIX)
        resource, _, rest = path.partition("/")
        segments = [segment for segment in rest.split("/") if segment]
        match resource:
            case "settings":  # The rest is a path in the settings tree.
                return self._serve_settings(environ, caller, rest)
            case "settings-history":
                return _require_method(
                    "GET",
                    environ,
                    lambda: self._tree.history(caller.digest, rest, environ),
                )
            case "status" if not segments:
                return _require_method("GET", environ, self._report_status)
            case "endpoints" if not segments:
                return _require_method("GET", environ, self._list_endpoints)
            case "endpoints" if (
                len(segments) == 2 and segments[1] == _DRAIN_ACTION
            ):
                endpoint = ids.EndpointId(segments[0])
                return _require_method(
                    "POST", environ, lambda: self._drain(caller, endpoint)
                )
        return result.Err(_make_path_refusal("see docs/operators/settings.md"))

    def _serve_settings(
        self, environ: request.Environ, caller: Caller, path: str
    ) -> tree.Outcome:
        match environ["REQUEST_METHOD"]:
            case "GET":
                return self._tree.get(caller.digest, path)
            case "PUT":
                return self._tree.put(caller.digest, path, environ)
        return result.Err(_make_method_refusal("GET, PUT"))

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
        current = self._settings.get_tree()
        if current is None:
            return result.Err(
                errors.make_settings_refusal(settings_errors.NotReady())
            )
        known = self._endpoints.list_endpoints()
        live = {endpoint.endpoint: endpoint for endpoint in known}
        listed = tuple(
            messages.EndpointEntry(
                endpoint=name, settings=settings, live=live.get(name)
            )
            for name, settings in current.root.endpoints.items()
        )
        reply = messages.EndpointsReply(
            revision=current.revision, endpoints=listed
        )
        return result.Ok(replies.Reply(msgspec.json.encode(reply)))

    def _drain(self, caller: Caller, endpoint: ids.EndpointId) -> tree.Outcome:
        if not caller.rights.everything:
            detail = "only the root's tokens may drain an endpoint"
            failure = settings_errors.Forbidden(detail=detail)
            return result.Err(errors.make_settings_refusal(failure))
        current = self._settings.get_tree()
        if current is None or endpoint not in current.root.endpoints:
            return result.Err(_make_path_refusal(f"no endpoint {endpoint}"))
        requested = self._endpoints.drain(endpoint)
        if isinstance(requested, result.Err):
            return result.Err(_make_drain_refusal(requested.err_value))
        _LOG.info("event=drain_ordered endpoint=%s", endpoint)
        body = msgspec.json.encode(messages.DrainReply(endpoint=endpoint))
        return result.Ok(replies.Reply(body, status=http.HTTPStatus.ACCEPTED))


def _require_method(
    method: str, environ: request.Environ, serve: Callable[[], tree.Outcome]
) -> tree.Outcome:
    if environ["REQUEST_METHOD"] == method:
        return serve()
    return result.Err(_make_method_refusal(method))


def _make_method_refusal(allow: str) -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.METHOD_NOT_ALLOWED,
        code=errors.Code.METHOD_NOT_ALLOWED,
        detail=f"this path has {allow}",
        allow=allow,
    )


def _make_path_refusal(detail: str) -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.NOT_FOUND,
        code=errors.Code.UNKNOWN_PATH,
        detail=detail,
    )


def _make_drain_refusal(failure: failures.Failure) -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        code=errors.Code.UNAVAILABLE,
        outcome=failures.Outcome.UNKNOWN,
        detail=f"{type(failure).__name__}: {failure.detail}",
        retry_after_s=1.0,
    )
