"""What a router that knew all could have served in time, by reading alone.

All runners are pooled into one reader that takes the most urgent prompt first
and reads each shared part once, unless the runner that kept it crashed. No
real fleet is that good: prompts can't be split over runners, answers are made
beside the reading, and nobody knows what comes. So the shares printed are
upper bounds; what is lost with runners and instances that die isn't in them.

    python -m benchmarks.reading_bound
"""

import heapq
import math
import random
from typing import NamedTuple

_STEP_S = 0.01
# From a prompt's end to its first event, in seconds; the operators' sheet.
_FIRST_S = 0.016
_SEEDS = (1, 2, 3)


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        name: The brief's.
        tier: Its urgency, 0 first.
        rate: Requests a second outside bursts.
        own: Mean tokens of its own, and their spread (of a log-normal).
        shared: The same of the part that it shares.
        parts: How many such parts there are.
        target_s: Seconds to the first event.
        limit_s: Seconds until the answer is of no use.
        worth: Of an answer in time, and of a late one.
    """

    name: str
    tier: int
    rate: float
    own: tuple[float, float]
    shared: tuple[float, float]
    parts: int
    target_s: float
    limit_s: float
    worth: tuple[float, float]


class Burst(NamedTuple):
    """A kind comes `factor` times as often for a while."""

    kind: str
    at: float
    for_s: float
    factor: float


class Crash(NamedTuple):
    """A part of the runners is away, and what they kept is lost."""

    at: float
    for_s: float
    part: float


class Day(NamedTuple):
    """A load before a fleet."""

    name: str
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    crashes: tuple[Crash, ...]
    tokens_s: float
    length_s: float


def _list_kinds(rate: float) -> tuple[Kind, ...]:
    """Returns the kinds that read prompts, at a rate of all requests."""
    each = rate / 803.0
    return (
        Kind(
            "patrol digest", 2, 274 * each, (3720, 1.1), (13300, 0.7), 1196,
            1.532, 8.2, (1.5, 0.74),
        ),
        Kind(
            "defect report", 1, 146 * each, (2890, 1.0), (3780, 0.7), 552,
            0.522, 5.2, (2.3, 1.2),
        ),
        Kind(
            "crew query", 0, 191 * each, (1110, 1.0), (140, 0.7), 1083,
            0.313, 10.4, (2.1, 0.33),
        ),
    )  # fmt: skip


# 59 runners of 56,600 tokens a second; requests and moments as the heaviest
# days of the large deployment have them.
_TOKENS_S = 59 * 56_600.0
DAYS = (
    Day(
        "calm, with bursts",
        _list_kinds(176.0),
        (
            Burst("patrol digest", 0.5, 9.0, 2.3),
            Burst("crew query", 11.0, 5.0, 1.91),
            Burst("patrol digest", 17.5, 2.5, 2.04),
        ),
        (),
        _TOKENS_S,
        34.0,
    ),
    Day(
        "bursts, a quarter crashes",
        _list_kinds(350.0),
        (
            Burst("patrol digest", 0.5, 9.0, 2.3),
            Burst("defect report", 7.3, 4.1, 1.3),
            Burst("crew query", 11.0, 5.0, 2.17),
            Burst("patrol digest", 17.5, 2.5, 2.04),
        ),
        (Crash(5.5, 2.0, 0.25),),
        _TOKENS_S,
        41.0,
    ),
    Day(
        "bursts, two crashes",
        _list_kinds(350.0),
        (
            Burst("patrol digest", 0.5, 9.0, 2.17),
            Burst("crew query", 11.0, 5.0, 1.65),
            Burst("patrol digest", 15.5, 2.0, 2.17),
        ),
        (Crash(2.5, 5.2, 0.19), Crash(13.5, 2.0, 0.25)),
        _TOKENS_S,
        41.0,
    ),
)


def play(day: Day, seed: int) -> dict[str, float]:
    """Returns the share of worth earned, by kind and of all."""
    rng = random.Random(seed)
    sizes = {
        kind.name: [_draw(rng, kind.shared) for _ in range(kind.parts)]
        for kind in day.kinds
    }
    read: set[tuple[str, int]] = set()
    waiting: list[tuple[int, float, int, list[float], Kind]] = []
    earned = dict.fromkeys(sizes, 0.0)
    owed = dict.fromkeys(sizes, 0.0)
    now, count = 0.0, 0
    while now < day.length_s or waiting:
        now += _STEP_S
        _lose(day, now, read, rng)
        for kind in day.kinds if now < day.length_s else ():
            for _ in range(_draw_count(rng, _find_rate(day, kind, now))):
                part = rng.randrange(kind.parts)
                tokens = _draw(rng, kind.own)
                if (kind.name, part) not in read:
                    read.add((kind.name, part))
                    tokens += sizes[kind.name][part]
                owed[kind.name] += kind.worth[0]
                count += 1
                heapq.heappush(waiting, (kind.tier, now, count, [tokens], kind))
        left = _find_rate_of_reading(day, now) * _STEP_S
        while waiting and left > 0.0:
            _, came, _, tokens_left, kind = waiting[0]
            taken = min(left, tokens_left[0])
            left -= taken
            tokens_left[0] -= taken
            if tokens_left[0] > 0.0:
                break
            heapq.heappop(waiting)
            earned[kind.name] += _judge(kind, now - came + _FIRST_S)
    shares = {name: earned[name] / owed[name] for name in owed}
    shares["all"] = sum(earned.values()) / sum(owed.values())
    return shares


def _judge(kind: Kind, took_s: float) -> float:
    if took_s <= kind.target_s:
        return kind.worth[0]
    return kind.worth[1] if took_s <= kind.limit_s else 0.0


def _lose(
    day: Day, now: float, read: set[tuple[str, int]], rng: random.Random
) -> None:
    """Forgets what crashed runners kept, as they crash."""
    for crash in day.crashes:
        if crash.at <= now < crash.at + _STEP_S:
            read -= {each for each in sorted(read) if rng.random() < crash.part}


def _find_rate(day: Day, kind: Kind, now: float) -> float:
    factors = [
        burst.factor
        for burst in day.bursts
        if burst.kind == kind.name and burst.at <= now < burst.at + burst.for_s
    ]
    return kind.rate * math.prod(factors)


def _find_rate_of_reading(day: Day, now: float) -> float:
    away = [
        crash.part
        for crash in day.crashes
        if crash.at <= now < crash.at + crash.for_s
    ]
    return day.tokens_s * (1.0 - sum(away))


def _draw_count(rng: random.Random, rate: float) -> int:
    """Returns arrivals in a step: at most a few, so one by one."""
    count, left = 0, rate * _STEP_S
    while rng.random() < left:
        count += 1
        left -= 1.0
    return count


def _draw(rng: random.Random, size: tuple[float, float]) -> float:
    """Returns tokens of a log-normal with this mean and spread."""
    mean, spread = size
    return mean * math.exp(rng.gauss(-spread * spread / 2, spread))


def main() -> None:
    """Prints the bounds, the mean of some seeds."""
    for day in DAYS:
        shares = [play(day, seed) for seed in _SEEDS]
        line = "  ".join(
            f"{name} {sum(each[name] for each in shares) / len(shares):.3f}"
            for name in shares[0]
        )
        print(f"{day.name}: {line}")


if __name__ == "__main__":
    main()
