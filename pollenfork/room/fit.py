"""The cost of placing a request where its KV cache may not fit."""

from collections.abc import Sequence

import msgspec

# The cost of a full cache compared with an empty one, in seconds. Runners are
# filled evenly, so that news that is late finds none just below its capacity.
# It is less than half of the prefill of 13,300 shared tokens, so it moves no
# such prompt away from its cache. The chooser's ties of 4 ms are then 4% of the
# capacity, about one of the longest requests.
_FILL_S = 0.1


class Room(msgspec.Struct, frozen=True):
    """What is held on one runner.

    Attributes:
        own: Tokens that this instance's requests hold; always current.
        others: Tokens that other instances' requests hold, as last heard.
        active: Requests of all instances that the runner is running.
    """

    own: int
    others: int
    active: int


def find_costs(
    rooms: Sequence[Room],
    needed: int,
    capacity: int,
    typical_answer_s: float,
) -> list[float]:
    """Returns the cost of each runner of a service for a request, in seconds.

    The cost is the wait for room, and a smaller one that fills runners evenly.

    Args:
        rooms: What is held on all runners that accept work.
        needed: Tokens that the request holds when it ends.
        capacity: Tokens that a runner's KV cache holds; 0: unknown.
        typical_answer_s: Seconds that an answer typically takes.
    """
    if capacity <= 0:
        return [0.0] * len(rooms)
    waits = (
        find_wait(
            room.own + room.others,
            needed,
            capacity,
            room.active,
            typical_answer_s,
        )
        for room in rooms
    )
    return [
        wait_s + _FILL_S * held / capacity
        for wait_s, held in zip(waits, estimate_held(rooms), strict=True)
    ]


def estimate_held(rooms: Sequence[Room]) -> list[float]:
    """Returns estimates of held tokens that instances can level together.

    Of the differences between runners that the others caused, each instance
    evens out only its own share: its share of all held tokens. If each evened
    out the whole difference on the same news, they would all choose the same
    few runners until the next news.
    """
    own = sum(room.own for room in rooms)
    others = sum(room.others for room in rooms)
    if not others:
        return [float(room.own) for room in rooms]
    share = own / (own + others)
    mean = others / len(rooms)
    return [room.own + mean + share * (room.others - mean) for room in rooms]


def find_wait(
    held: int, needed: int, capacity: int, active: int, typical_answer_s: float
) -> float:
    """Returns the seconds until a runner has room for a request.

    Running answers are taken to hold equal shares and to end evenly over the
    typical time, so one ends every `typical_answer_s / active`. At least one
    must end if the request doesn't fit.

    Args:
        held: Tokens that the requests of all instances hold there.
        needed: Tokens that the request holds when it ends.
        capacity: Tokens that the runner's KV cache holds; 0: unknown.
        active: Requests that the runner is running.
        typical_answer_s: Seconds that an answer typically takes.

    Returns:
        0 if the request fits, if the capacity is unknown, if nothing would
        make room, and if the request is larger than the whole cache. At most
        the typical time: all running answers have ended by then.
    """
    overflow = held + needed - capacity
    if overflow <= 0 or capacity <= 0 or active <= 0 or held <= 0:
        return 0.0
    if needed > capacity:
        return 0.0
    return max(overflow / held, 1.0 / active) * typical_answer_s
