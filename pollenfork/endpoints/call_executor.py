"""Makes the calls that the core plans, in the threads of the pools."""

import logging
from typing import Any

import result

from pollenfork import clock as clocks
from pollenfork import failures
from pollenfork.endpoints import calls
from pollenfork.endpoints import edges
from pollenfork.endpoints import errors
from pollenfork.endpoints import steps
from pollenfork.store import edges as platform_edges
from pollenfork.store import errors as platform_errors

_LOG = logging.getLogger(__name__)


class CallExecutor:
    """Makes calls to endpoints and the platform, and returns their results."""

    def __init__(
        self,
        clock: clocks.Clock,
        table: platform_edges.TableService,
        instance_list: platform_edges.InstanceList,
        weight_store: platform_edges.WeightStore,
    ) -> None:
        self._clock = clock
        self._table = table
        self._instance_list = instance_list
        self._weight_store = weight_store

    def execute(
        self, call: calls.Call, endpoint: edges.Endpoint | None
    ) -> result.Result[Any, Any]:
        """Makes one call; `endpoint` is its target, if it has one."""
        try:
            return self._execute(call, endpoint)
        except Exception as error:  # Otherwise the core would wait forever.
            _LOG.exception("event=call_failed call=%s", call)
            return result.Err(_make_failure(call, str(error)))

    def _execute(
        self, call: calls.Call, endpoint: edges.Endpoint | None
    ) -> result.Result[Any, Any]:
        match call:
            case calls.FetchList():
                return self._instance_list.fetch()
            case calls.ScanDrains(prefix):
                return self._table.scan(prefix)
            case calls.StoreDrain():
                return self._table.commit(call.transaction)
            case calls.RunStep(_, step):
                return self._run_step(step, endpoint)
        assert endpoint is not None
        match call:
            case calls.Probe():
                return endpoint.check_ready()
            case calls.FetchLoad():
                return endpoint.fetch_load()
            case calls.FetchEvents(_, after):
                return endpoint.fetch_cache_events(after)

    def _run_step(
        self, step: steps.Step, endpoint: edges.Endpoint | None
    ) -> result.Result[Any, Any]:
        match step:
            case steps.Read(key):
                return self._table.read(key)
            case steps.Write(transaction):
                return self._table.commit(transaction)
            case steps.RequestPermit(name, version):
                return self._weight_store.request_read(name, version)
            case steps.SendOrder(order, send_before):
                assert endpoint is not None
                # The call may have been queued, or this thread paused, since
                # the core chose the step.
                if self._clock.monotonic() >= send_before:
                    return result.Err(
                        errors.TooLate(detail="the lease ended before sending")
                    )
                return endpoint.give_order(order)


def targets_endpoint(call: calls.Call) -> bool:
    """Returns whether the call goes to an endpoint, not to the platform."""
    if isinstance(call, calls.RunStep):
        return isinstance(call.step, steps.SendOrder)
    return isinstance(call, calls.ToEndpoint)


def _make_failure(call: calls.Call, detail: str) -> failures.Failure:
    if targets_endpoint(call):
        return edges.Unanswered(detail=detail)
    return platform_errors.Unanswered(detail=detail)
