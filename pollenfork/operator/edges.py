"""What the operator interface needs of the rest of the program."""

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
        state: What the answering instance believes of it.
        revision: The settings revision in force there; 0 for none.
        age_s: Seconds since that revision was last known to be the newest,
            where the instance says so.
        heard_s_ago: Seconds since its last sign of life.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    state: membership_messages.MemberStatus
    revision: ids.Revision
    age_s: float | None = None
    heard_s_ago: float = 0.0


class LiveEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """What this instance sees of one endpoint now.

    Attributes:
        in_flight: Attempts that this instance has there.
        running: Requests in its batch, by its own report, which lags.
        waiting: Requests in its queue, by the same report.
        report_age_s: How old that report is; None before the first.
    """

    endpoint: ids.EndpointId
    state: dispatch_messages.EndpointState
    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    report_age_s: float | None = None


class Instances(Protocol):
    """The entry instances, this one among them."""

    def list_instances(self) -> tuple[InstanceReport, ...]:
        """Returns every instance known; it must not block."""


class Endpoints(Protocol):
    """The endpoints as this instance sees them, and orders to them."""

    def list_endpoints(self) -> tuple[LiveEndpoint, ...]:
        """Returns the endpoints known; it must not block."""

    def drain(
        self, endpoint: ids.EndpointId
    ) -> result.Result[None, failures.Failure]:
        """Asks that the endpoint take no new work.

        Returns once the wish is kept where every instance finds it.
        """
