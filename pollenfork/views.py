"""Instances and endpoints as the operator API shows them."""

from collections.abc import Callable

import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import actor as endpoints_actor
from pollenfork.endpoints import messages as endpoint_messages
from pollenfork.membership import lifecycle
from pollenfork.membership import messages
from pollenfork.operator import edges as operator_edges
from pollenfork.settings import actor as settings_actor


class Instances:
    """Implements `operator.edges.Instances` from membership and settings."""

    def __init__(
        self,
        instance: ids.InstanceId,
        membership: lifecycle.Membership,
        settings: settings_actor.Settings,
    ) -> None:
        self._instance = instance
        self._membership = membership
        self._settings = settings

    def list_instances(self) -> tuple[operator_edges.InstanceReport, ...]:
        """Returns all known instances."""
        return tuple(
            self._report(view) for view in self._membership.list_members()
        )

    def _report(
        self, view: messages.MemberView
    ) -> operator_edges.InstanceReport:
        status = self._settings.read_status()
        is_own = view.instance == self._instance
        return operator_edges.InstanceReport(
            instance=view.instance,
            data_centre=view.data_centre,
            state=view.status,
            revision=status.revision if is_own else view.revision,
            age_s=status.age_s if is_own else None,
            heard_s_ago=view.heard_s_ago,
        )


class Endpoints:
    """Implements `operator.edges.Endpoints` from endpoints and slots."""

    def __init__(
        self,
        endpoints: endpoints_actor.Endpoints,
        read_pressure: Callable[[], dispatch_messages.Pressure],
        now: clock.Clock,
    ) -> None:
        self._clock = now
        self._endpoints = endpoints
        self._read_pressure = read_pressure
        self._reports: dict[
            ids.EndpointId, dispatch_messages.EndpointReport
        ] = {}

    def record(
        self,
        event: dispatch_messages.EndpointReport
        | dispatch_messages.EndpointNotice,
    ) -> None:
        """Stores the last load report of an endpoint; thread-safe."""
        if isinstance(event, dispatch_messages.EndpointReport):
            self._reports[event.endpoint] = event

    def list_endpoints(self) -> tuple[operator_edges.LiveEndpoint, ...]:
        """Returns the endpoints in this data centre."""
        in_flight: dict[ids.EndpointId, int] = {}
        for held in self._read_pressure().occupancies:
            count = in_flight.get(held.endpoint, 0) + held.in_flight
            in_flight[held.endpoint] = count
        return tuple(
            self._describe(view, in_flight.get(view.endpoint, 0))
            for view in self._endpoints.list_endpoints()
        )

    def drain(
        self, endpoint: ids.EndpointId
    ) -> result.Result[None, failures.Failure]:
        """Stores a drain request: the endpoint gets no new work."""
        return self._endpoints.drain(endpoint)

    def _describe(
        self, view: endpoint_messages.EndpointView, in_flight: int
    ) -> operator_edges.LiveEndpoint:
        report = self._reports.get(view.endpoint)
        age_s = None
        if report:
            age_s = self._clock.monotonic() - report.measured_at
        return operator_edges.LiveEndpoint(
            endpoint=view.endpoint,
            state=view.state or dispatch_messages.EndpointState.GONE,
            in_flight=in_flight,
            running=report.running if report else 0,
            waiting=report.waiting if report else 0,
            report_age_s=age_s,
        )
