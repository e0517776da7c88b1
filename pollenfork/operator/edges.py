"""Interfaces that the operator interface requires."""

from typing import Protocol

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import messages as membership_messages


class InstanceReport(msgspec.Struct, frozen=True, kw_only=True):
    """One entry instance.

    Attributes:
        state: Its membership state, as seen by the answering instance.
        revision: The settings revision in force there; 0 for none.
        age_s: Seconds since that revision was last known to be the newest;
            None where the instance doesn't report it.
        heard_s_ago: Seconds since it was last heard from.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    state: membership_messages.MemberStatus
    revision: ids.Revision
    age_s: float | None = None
    heard_s_ago: float = 0.0


class LiveEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one endpoint, as this instance sees it.

    Attributes:
        in_flight: Attempts of this instance that run at the endpoint.
        running: Requests in its batch, by its last load report, which lags.
        waiting: Requests in its queue, by the same report.
        report_age_s: Age of that report; None before the first.
    """

    endpoint: ids.EndpointId
    state: dispatch_messages.EndpointState
    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    report_age_s: float | None = None


class Instances(Protocol):
    """Lists the entry instances, including this one."""

    def list_instances(self) -> tuple[InstanceReport, ...]:
        """Returns all known instances; must not block."""


class Endpoints(Protocol):
    """Lists the endpoints as this instance sees them, and drains them."""

    def list_endpoints(self) -> tuple[LiveEndpoint, ...]:
        """Returns all known endpoints; must not block."""

    def drain(
        self, endpoint: ids.EndpointId
    ) -> result.Result[None, failures.Failure]:
        """Requests that the endpoint take no new work.

        Returns once the request is stored where all instances read it.
        """
