"""What every row of a lease says, whatever it is for."""

import msgspec

from pollenfork import ids


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Who may act, and by which number.

    It holds no time of day: readers count `lease_ms` by their own monotonic
    clock from when they first saw the row's present version.

    Attributes:
        holder: Empty when the lease was given back.
        fencing: Grows with each claim.
        write_id: The write that made this version, by which its writer
            knows it again when the answer was lost.
        lease_ms: How long the holder may act on this version.
        order_ms: The longest time from sending an order to its effect.
    """

    holder: ids.InstanceId
    fencing: ids.FencingNumber
    write_id: ids.WriteId
    lease_ms: int
    order_ms: int
