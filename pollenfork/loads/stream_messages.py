"""Datagrams about the software versions that began streams."""

import msgspec


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """The software version of a service that began a stream.

    Attributes:
        stream: A hash of the attempt that brought the stream's first event.
        service: A hash of the service.
        version: The software version; empty: it can't be known.
        keep_ms: For how long its caller may still take it up.
        is_open: Whether a version that isn't known may become known. Earlier
            builds neither send nor read it.
    """

    stream: int
    service: int
    version: str
    keep_ms: int
    is_open: bool = False


class OriginNotice(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """An instance tells a holder where streams began.

    Attributes:
        data_centre: The sender's data centre.
        origins: Where they began.
    """

    data_centre: str
    origins: tuple[Origin, ...]


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """An instance asks a holder at which version a stream began.

    Attributes:
        data_centre: The sender's data centre.
        stream: A hash of the attempt that brought the stream's first event.
    """

    data_centre: str
    stream: int


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Answers a query.

    Attributes:
        data_centre: The sender's data centre.
        stream: The stream that was asked for.
        origins: What the sender knows of it; empty: nothing.
    """

    data_centre: str
    stream: int
    origins: tuple[Origin, ...] = ()


StreamMessage = OriginNotice | OriginQuery | OriginAnswer
