"""Datagrams about the software versions that write streams."""

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


class DoubtQuery(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """An instance that has just started asks which runners may have ended.

    Earlier builds can't read it and don't answer.

    Attributes:
        data_centre: The sender's data centre.
    """

    data_centre: str


class DoubtedRunner(msgspec.Struct, frozen=True, array_like=True):
    """A runner that may have ended, or that has started again recently.

    Attributes:
        runner: A hash of the runner's id, whichever its incarnation.
        explained_ms: The doubt is explained by an entry of a start since then,
            in Unix milliseconds.
        age_ms: How long ago the latest sign of its end was observed.
        current_ms: For how long since then the sender's registry was current
            without showing such an entry.
    """

    runner: int
    explained_ms: int
    age_ms: int
    current_ms: int


class DoubtAnswer(msgspec.Struct, frozen=True, array_like=True, tag="y"):
    """Answers a query for runners in doubt.

    Attributes:
        data_centre: The sender's data centre.
        doubted: Those that the sender has observed, the latest first.
    """

    data_centre: str
    doubted: tuple[DoubtedRunner, ...] = ()


StreamMessage = (
    OriginNotice | OriginQuery | OriginAnswer | DoubtQuery | DoubtAnswer
)
