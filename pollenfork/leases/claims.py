"""The fields common to the rows of all leases."""

import msgspec

from pollenfork import ids


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds a lease, and its fencing number.

    It contains no time of day: readers count `lease_ms` on their own monotonic
    clock, starting when they first saw this version of the row.

    Attributes:
        holder: The instance that holds the lease; empty once it was released.
        fencing: Incremented by each claim.
        write_id: Identifies the write that made this version, so that its
            writer recognizes it although the reply was lost.
        lease_ms: How long the holder may act on this version.
        order_ms: The longest time from sending an order until it takes effect.
    """

    holder: ids.InstanceId
    fencing: ids.FencingNumber
    write_id: ids.WriteId
    lease_ms: int
    order_ms: int
