"""Datagrams about the room of brittle runners, as msgpack arrays."""

import msgspec


class RoomRefusal(msgspec.Struct, frozen=True, array_like=True):
    """A brittle runner refused a request for want of room.

    Attributes:
        runner: A hash of the runner's incarnation.
        room: Requests that it is believed to hold.
        refusals: The refusals that it can bear in a second.
        age_ms: How long ago it refused.
    """

    runner: int
    room: int
    refusals: float
    age_ms: int


class RoomUpdates(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """An instance passes on refusals of brittle runners.

    Attributes:
        data_centre: The sender's data centre.
        refusals: The refusals that it met or was told of.
    """

    data_centre: str
    refusals: tuple[RoomRefusal, ...]
