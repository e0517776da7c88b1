"""Arrivals of a scenario: the same for the same seed."""

from collections.abc import Iterator
import math
import random

import msgspec

from pollenfork.load import scenario as scenarios

_BYTES_PER_TOKEN = 4
_WORDS = ("tower", "span", "clamp", "photo", "meter", "clause", "price", "crew")


class Arrival(msgspec.Struct, frozen=True):
    """One request to send.

    Attributes:
        at_s: Seconds after the start.
        label: Names the request at the engines; unique in the run.
        body: JSON of a chat completion.
    """

    at_s: float
    class_name: str
    label: str
    body: bytes


def make_plan(scenario: scenarios.Scenario) -> tuple[Arrival, ...]:
    """Returns all arrivals of a scenario in the order of time."""
    arrivals: list[Arrival] = []
    start_s = 0.0
    for i, phase in enumerate(scenario.phases):
        for name, rate in sorted(phase.rates.items()):
            draw = random.Random(f"{scenario.seed}/{i}/{name}")
            kind = scenario.classes[name]
            for j, at_s in enumerate(_draw_times(draw, rate, phase.duration_s)):
                label = f"{scenario.seed}-{i}-{name}-{j}"
                body = _make_body(draw, kind, label)
                arrivals.append(Arrival(start_s + at_s, name, label, body))
        start_s += phase.duration_s
    return tuple(sorted(arrivals, key=lambda a: (a.at_s, a.label)))


def _draw_times(
    draw: random.Random, rate: float, duration_s: float
) -> Iterator[float]:
    if rate <= 0:
        return
    at_s = draw.expovariate(rate)
    while at_s < duration_s:
        yield at_s
        at_s += draw.expovariate(rate)


def _draw_length(draw: random.Random, length: scenarios.Length) -> int:
    drawn = draw.lognormvariate(math.log(length.median), length.sigma)
    return max(1, min(round(drawn), length.longest))


def _make_body(
    draw: random.Random, kind: scenarios.LoadClass, label: str
) -> bytes:
    head = draw.randrange(kind.prefixes)
    tokens = _draw_length(draw, kind.prompt)
    shared = _make_text(random.Random(head), kind.prefix_tokens)
    own = _make_text(draw, max(0, tokens - kind.prefix_tokens))
    answer_tokens = str(_draw_length(draw, kind.answer))
    body = {
        "model": kind.model,
        "messages": [{"role": "user", "content": f"{shared} {own} {label}"}],
        "stream": kind.stream,
        "metadata": {"label": label, "answer_tokens": answer_tokens},
    }
    if kind.max_tokens is not None:
        body["max_tokens"] = kind.max_tokens
    return msgspec.json.encode(body)


def _make_text(draw: random.Random, tokens: int) -> str:
    size = tokens * _BYTES_PER_TOKEN
    words: list[str] = []
    length = 0
    while length < size:
        words.append(draw.choice(_WORDS))
        length += len(words[-1]) + 1
    return " ".join(words)[:size]
