"""Fixed costs by which runners are compared."""

import msgspec


class CostProfile(msgspec.Struct, frozen=True, kw_only=True):
    """The costs of a service whose answers aren't forecast.

    Attributes:
        active_s: What each running request adds to the time to first token, in
            seconds.
        plain_active_s: The same for a plain service.
        avoided_s: The cost of a runner that has just failed, in seconds.
        failure_s: The cost of a runner at a failure rate of 1, in seconds.
        full_s: The cost of a runner without a free slot, in seconds.
        long_prompt_tokens: The length above which a prompt is announced to
            other instances at once.
    """

    active_s: float
    plain_active_s: float
    avoided_s: float
    failure_s: float
    full_s: float
    long_prompt_tokens: int


# One more request lengthens a batch step by about 0.1 ms, and the first token
# takes several steps. A plain request takes about 45 ms. A runner that has just
# failed costs more than the wait at any other one, a full one the remaining
# time of a long answer. Short requests must not queue behind a prompt of 2,000
# tokens, which takes 35 ms to process.
DEFAULT = CostProfile(
    active_s=0.002,
    plain_active_s=0.045,
    avoided_s=5.0,
    failure_s=1.0,
    full_s=1.0,
    long_prompt_tokens=2000,
)
