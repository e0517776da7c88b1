"""Chooses the instances that keep at which version a stream began.

Any instance works them out from the stream and the members that it knows, so
that nobody keeps a list of who holds what.
"""

from collections.abc import Mapping, Sequence

import xxhash

Members = Mapping[str, Sequence[str]]

# Holders in as many data centres: two of them may be lost at once.
_COPIES = 3


def choose_told(stream: int, members: Members, me: str, home: str) -> list[str]:
    """Returns the other hosts to tell where a stream began.

    Args:
        stream: Identifies the stream.
        members: Hosts by data centre, this one included.
        me: This instance's host.
        home: Its data centre. One host there is told in any case, as callers
            return to their own data centre, which may be cut off.
    """
    told: list[str] = []
    for data_centre in {*_choose_data_centres(stream, members), home}:
        ranked = _rank(stream, members.get(data_centre, ()))
        # A copy here is lost with this instance.
        told += [host for host in ranked if host != me][:1]
    if len(told) < _COPIES:
        told += _choose_more(stream, members, {*told, me})
    return told


def choose_asked(
    stream: int, members: Members, me: str, home: str, *, widely: bool
) -> list[str]:
    """Returns the other hosts to ask where a stream began.

    Args:
        stream: Identifies the stream.
        members: Hosts by data centre, this one included.
        me: This instance's host.
        home: Its data centre.
        widely: Whether also to ask those that hold it if the instance that
            began it knew other members, or was one of the holders.
    """
    if widely:
        data_centres = {*members, home}
    else:
        data_centres = {*_choose_data_centres(stream, members), home}
    asked: list[str] = []
    for data_centre in data_centres:
        ranked = _rank(stream, members.get(data_centre, ()))
        count = 2 if widely or data_centre == home else 1
        asked += [host for host in ranked[:count] if host != me]
    if len(data_centres) < _COPIES:
        asked += _choose_more(stream, members, {*asked, me})
    return asked


def _choose_data_centres(stream: int, members: Members) -> list[str]:
    return _rank(stream, list(members))[:_COPIES]


def _choose_more(
    stream: int, members: Members, excluded: set[str]
) -> list[str]:
    """Returns further hosts, for sites of few data centres."""
    hosts = [
        host
        for each in members.values()
        for host in each
        if host not in excluded
    ]
    return _rank(stream, hosts)[: _COPIES - 1]


def _rank(stream: int, names: Sequence[str]) -> list[str]:
    """Returns names in an order of the stream's own (rendezvous hashing)."""
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(name.encode(), stream)
    )
