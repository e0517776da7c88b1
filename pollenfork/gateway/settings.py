"""What one gateway process is told at its start."""

import msgspec

from pollenfork import ids
from pollenfork.loads import messages as loads

Address = loads.Address


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, limits and bounds.

    Attributes:
        instance: This instance's name.
        data_centre: Where it runs.
        front: Where callers connect.
        readiness: Where the balancer asks whether to send callers.
        store: The platform's store.
        metrics: Where metrics are shown; None: nowhere.
        peer: Where other instances' datagrams arrive; None: it is alone.
        seeds: Instances that may know others.
        grace_s: Seconds from the signal to stop until the process is killed.
        leave_s: Seconds in which a runner that leaves must get no more work.
        revocation_s: Seconds in which a key taken away stops working
            everywhere; None where no bound holds.
        retry_ratio: Repeats allowed to all instances, for each request.
        retry_window_s: The window of that ratio in seconds.
        retry_extra: Repeats allowed to all instances besides, in a window.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    front: Address
    readiness: Address
    store: Address
    metrics: Address | None = None
    peer: Address | None = None
    seeds: tuple[Address, ...] = ()
    grace_s: float = 8.0
    leave_s: float = 2.0
    revocation_s: float | None = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 50.0
