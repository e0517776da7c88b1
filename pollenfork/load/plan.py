"""Generates the arrivals of a scenario, reproducibly from its seed."""

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
        label: Identifies the request at the engines; unique in a run.
        body: JSON of a chat completion.
    """

    at_s: float
    class_name: str
    label: str
    body: bytes


def make_plan(scenario: scenarios.Scenario) -> tuple[Arrival, ...]:
    """Returns all arrivals of a scenario, ordered by time."""
    arrivals: list[Arrival] = []
    start_s = 0.0
    for i, phase in enumerate(scenario.phases):
        for name, rate in sorted(phase.rates.items()):
            rng = random.Random(f"{scenario.seed}/{i}/{name}")
            load_class = scenario.classes[name]
            for j, at_s in enumerate(_draw_times(rng, rate, phase.duration_s)):
                label = f"{scenario.seed}-{i}-{name}-{j}"
                body = _make_body(rng, load_class, label)
                arrivals.append(Arrival(start_s + at_s, name, label, body))
        start_s += phase.duration_s
    return tuple(sorted(arrivals, key=lambda a: (a.at_s, a.label)))


def _draw_times(
    rng: random.Random, rate: float, duration_s: float
) -> Iterator[float]:
    if rate <= 0:
        return
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        yield at_s
        at_s += rng.expovariate(rate)


def _draw_length(rng: random.Random, length: scenarios.Length) -> int:
    drawn = rng.lognormvariate(math.log(length.median), length.sigma)
    return max(1, min(round(drawn), length.longest))


def _make_body(
    rng: random.Random, load_class: scenarios.LoadClass, label: str
) -> bytes:
    prefix_seed = rng.randrange(load_class.prefixes)
    tokens = _draw_length(rng, load_class.prompt)
    prefix = _make_text(random.Random(prefix_seed), load_class.prefix_tokens)
    rest = _make_text(rng, max(0, tokens - load_class.prefix_tokens))
    answer_tokens = str(_draw_length(rng, load_class.answer))
    body = {
        "model": load_class.model,
        "messages": [{"role": "user", "content": f"{prefix} {rest} {label}"}],
        "stream": load_class.stream,
        "metadata": {"label": label, "answer_tokens": answer_tokens},
    }
    if load_class.max_tokens is not None:
        body["max_tokens"] = load_class.max_tokens
    return msgspec.json.encode(body)


def _make_text(rng: random.Random, tokens: int) -> str:
    size = tokens * _BYTES_PER_TOKEN
    words: list[str] = []
    length = 0
    while length < size:
        words.append(rng.choice(_WORDS))
        length += len(words[-1]) + 1
    return " ".join(words)[:size]
