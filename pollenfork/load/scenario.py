"""Schema of a load scenario's JSON file."""

from typing import Annotated

import msgspec

Positive = Annotated[int, msgspec.Meta(gt=0)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class Length(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A length in tokens, drawn from a log-normal distribution.

    Attributes:
        median: Median length.
        sigma: Standard deviation of the logarithm; 0 for a constant length.
        longest: Upper bound of a drawn length.
    """

    median: Positive
    sigma: NotNegative = 0.0
    longest: Positive = 4096


class LoadClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Requests that share a key, a length distribution and targets.

    Attributes:
        key: API key, sent as bearer token.
        service_class: Sent as `X-Service-Class`; empty sends none.
        prompt: Length of the prompt.
        answer: Length of the answer, sent to the engine stand-in.
        max_tokens: Sent as `max_tokens`; None sends none.
        prefixes: Number of different prompt prefixes that requests share.
        prefix_tokens: Length of such a prefix, which counts as a part of
            the prompt.
        target_first_token_ms: Target for the time from the arrival to the
            first token; for an answer that isn't streamed, to its end.
        target_gap_ms: Target for the mean time between two tokens of an
            answer.
    """

    key: str
    service_class: str = ""
    model: str = "model"
    stream: bool = True
    prompt: Length = Length(median=200)
    answer: Length = Length(median=64, sigma=0.6)
    max_tokens: Positive | None = None
    prefixes: Positive = 8
    prefix_tokens: Annotated[int, msgspec.Meta(ge=0)] = 0
    target_first_token_ms: PositiveNumber = 1300.0
    target_gap_ms: PositiveNumber = 49.0


class Phase(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A period of constant arrival rates.

    Attributes:
        duration_s: How long it lasts.
        rates: Requests per second by class; Poisson arrivals.
    """

    duration_s: PositiveNumber
    rates: dict[str, NotNegative]


class Scenario(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Open-loop load: arrivals don't wait for answers.

    Attributes:
        seed: Seed of the random arrivals and lengths.
        timeout_s: A request that isn't complete by then is aborted.
        max_open: Maximum of concurrent requests; those beyond it are counted
            as not sent.
        check_text: Whether to compare each answer with the text that an
            engine stand-in generates.
    """

    classes: dict[str, LoadClass]
    phases: tuple[Phase, ...]
    seed: int = 1
    timeout_s: PositiveNumber = 60.0
    max_open: Positive = 1000
    check_text: bool = True

    def __post_init__(self) -> None:
        """Checks that every rate refers to a known class."""
        for i, phase in enumerate(self.phases):
            for name in phase.rates:
                if name not in self.classes:
                    raise ValueError(f"phases[{i}].rates.{name}: no such class")
