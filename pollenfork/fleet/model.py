"""What is known of a runner from the registry."""

import msgspec

from pollenfork import ids


class Part(msgspec.Struct, frozen=True):
    """A part of a prompt that several requests may share.

    Attributes:
        name: What identifies its text.
        tokens: Its length.
    """

    name: bytes
    tokens: int


class Runner(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a runner.

    Attributes:
        id: A new one with each start, so an address alone identifies nobody.
        service: The service it offers.
        host: Its IP address.
        port: Its port.
        data_centre: Where it runs.
        slots: Requests that it works on at once.
        leaving: Whether it takes no new work.
        cold_s: How much longer it is slow after its start, in seconds.
    """

    id: ids.EndpointId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentre
    slots: int
    leaving: bool
    cold_s: float
