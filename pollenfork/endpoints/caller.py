"""Makes the calls that the core asks for; runs in the pools' threads."""

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


class Caller:
    """Makes the core's calls; each returns what its edge returned."""

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

    def make(
        self, call: calls.Call, endpoint: edges.Endpoint | None
    ) -> result.Result[Any, Any]:
        """Makes one call; `endpoint` is the one that it names, if any."""
        try:
            return self._make(call, endpoint)
        except Exception as error:  # Else the core would wait for ever.
            _LOG.exception("event=call_failed call=%s", call)
            return result.Err(_make_failure(call, str(error)))

    def _make(
        self, call: calls.Call, endpoint: edges.Endpoint | None
    ) -> result.Result[Any, Any]:
        match call:
            case calls.FetchList():
                return self._instance_list.fetch()
            case calls.ScanDrains(prefix):
                return self._table.scan(prefix)
            case calls.StoreDrain():
                return self._table.commit(call.transaction)
            case calls.TakeStep(_, step):
                return self._take_step(step, endpoint)
        assert endpoint is not None
        match call:
            case calls.Probe():
                return endpoint.check_ready()
            case calls.FetchLoad():
                return endpoint.fetch_load()
            case calls.FetchEvents(_, after):
                return endpoint.fetch_cache_events(after)

    def _take_step(
        self, step: steps.Step, endpoint: edges.Endpoint | None
    ) -> result.Result[Any, Any]:
        match step:
            case steps.Read(key):
                return self._table.read(key)
            case steps.Write(transaction):
                return self._table.commit(transaction)
            case steps.AskPermit(name, version):
                return self._weight_store.request_read(name, version)
            case steps.Send(order, send_before):
                assert endpoint is not None
                # This thread may have waited, or been paused, since the
                # core decided.
                if self._clock.monotonic() >= send_before:
                    return result.Err(errors.TooLate(detail="lease over"))
                return endpoint.give_order(order)


def is_to_endpoint(call: calls.Call) -> bool:
    """Returns whether an endpoint answers the call, not the platform."""
    if isinstance(call, calls.TakeStep):
        return isinstance(call.step, steps.Send)
    return isinstance(call, calls.ToEndpoint)


def _make_failure(call: calls.Call, detail: str) -> failures.Failure:
    if is_to_endpoint(call):
        return edges.Unanswered(detail=detail)
    return platform_errors.Unanswered(detail=detail)
