"""Datagrams between an instance without runners and those that may help it."""

import msgspec


class HelpQuery(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """An instance that reaches no runner of a service asks who does.

    Attributes:
        data_centre: The sender's data centre.
    """

    data_centre: str


class HelpOffer(msgspec.Struct, frozen=True, array_like=True, tag="j"):
    """Answers a query: the sender serves forwarded requests.

    Attributes:
        data_centre: The sender's data centre.
        forwarded: Forwarded requests that it is serving.
        lost: Hashes of the services whose runners it doesn't reach.
        keeps_versions: Whether it lets a stream go on only at the software
            version that a forwarded request names.
    """

    data_centre: str
    forwarded: int
    lost: tuple[int, ...] = ()
    keeps_versions: bool = False


ReachMessage = HelpQuery | HelpOffer
