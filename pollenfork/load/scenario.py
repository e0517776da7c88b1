"""A load scenario, as its JSON file has it."""

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
        median: Half of the draws are shorter.
        sigma: Standard deviation of the logarithm; 0 is a constant.
        longest: Bound on the draws.
    """

    median: Positive
    sigma: NotNegative = 0.0
    longest: Positive = 4096


class LoadClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Requests of one kind.

    Attributes:
        key: The bearer key.
        service_class: Sent as `X-Service-Class`; empty sends none.
        prompt: Length of the prompt.
        answer: Length of the answer, told to the engine stand-in.
        max_tokens: The caller's own bound; None sends none.
        prefixes: How many different prompt heads the requests share.
        prefix_tokens: Length of such a head, a part of the prompt.
        target_first_token_ms: From the arrival to the first token; for a
            plain answer, to its end.
        target_gap_ms: Mean time between two tokens of one answer.
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
    """A time of constant arrival rates.

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
        seed: Of arrivals and lengths.
        timeout_s: A request without its last byte by then is broken off.
        max_open: Requests open at once; those beyond are counted, not sent.
        check_text: Compare each answer with what an engine stand-in gives.
    """

    classes: dict[str, LoadClass]
    phases: tuple[Phase, ...]
    seed: int = 1
    timeout_s: PositiveNumber = 60.0
    max_open: Positive = 1000
    check_text: bool = True

    def __post_init__(self) -> None:
        """Checks that every rate names a class."""
        for i, phase in enumerate(self.phases):
            for name in phase.rates:
                if name not in self.classes:
                    raise ValueError(f"phases[{i}].rates.{name}: no such class")
