"""The possible results of selecting a runner for a request."""

import msgspec

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import runner_state
from pollenfork.room import ledger


class Overloaded(msgspec.Struct, frozen=True):
    """The best runner's backlog is longer than the request may wait.

    Attributes:
        wait_s: Seconds until that runner would have processed the prompt.
        mean_backlog_s: The mean prompt backlog of the service's runners, in
            seconds.
        least_wait_s: The same as `wait_s` for the runner at which it is least.
        least_backlog_s: The shortest backlog of a runner that the request may
            use, in seconds.
        runner: The runner with the lowest cost; None: none was chosen.
    """

    wait_s: float
    mean_backlog_s: float = 0.0
    least_wait_s: float = 0.0
    least_backlog_s: float = 0.0
    runner: ids.EndpointId | None = None


class Unreachable(msgspec.Struct, frozen=True):
    """No runner that accepts work can be connected to."""


class Limited(msgspec.Struct, frozen=True):
    """Every reachable runner is at its rate limit.

    Attributes:
        wait_s: Seconds until one of them may accept a request again.
        rate: The sum of their limits in requests per second.
    """

    wait_s: float
    rate: float


class Paused(msgspec.Struct, frozen=True):
    """Every reachable runner has asked for a pause.

    Attributes:
        wait_s: Seconds after which the caller should return.
    """

    wait_s: float


class Full(msgspec.Struct, frozen=True):
    """No brittle runner has a place for this instance now."""


class Closed(msgspec.Struct, frozen=True):
    """Requests of the tier may not begin, as more urgent ones wait.

    Attributes:
        wait_s: Seconds after which the caller should return.
    """

    wait_s: float


class OtherVersions(msgspec.Struct, frozen=True):
    """No runner of the version that began the stream accepts work.

    Attributes:
        uncertain: Whether one may, but may have another version by now.
    """

    uncertain: bool = False


class Grant(msgspec.Struct):
    """A runner selected for one attempt, until the attempt is settled.

    Attributes:
        runner: The runner.
        state: This instance's state of the runner.
        pending_tokens: Prompt tokens that the runner is expected to process.
        cost: The candidate's weighted cost in seconds until the first token.
        uncached_tokens: Tokens of shared parts that the runner hasn't cached.
        source: The runner to copy the shared parts from; None: they are
            processed from scratch.
        holders: Number of candidates that have all shared parts cached.
        holder_cost: The lowest cost among those; 0 if there are none.
        top_tier: 1 if the attempt counts as of the most urgent tier, else 0.
        mean_backlog_s: The mean prompt backlog of the service's runners, in
            seconds.
        least_backlog_s: The shortest backlog of a runner that the request may
            use, in seconds.
        wait_s: Seconds until the runner will have processed the prompt.
        limited: Whether the runner has a rate limit. The grant must then be
            confirmed once a permit is available.
        forecast_s: Expected seconds until the first event; None: not forecast.
        hold: The KV cache tokens that the attempt holds; None: none.
    """

    runner: model.Runner
    state: runner_state.RunnerState
    pending_tokens: float
    cost: float = 0.0
    uncached_tokens: int = 0
    source: model.Runner | None = None
    holders: int = 0
    holder_cost: float = 0.0
    top_tier: int = 0
    mean_backlog_s: float = 0.0
    least_backlog_s: float = 0.0
    wait_s: float = 0.0
    limited: bool = False
    forecast_s: float | None = None
    hold: ledger.Hold | None = None

    def record_prefill_done(self) -> None:
        """Records that the runner has processed the prompt."""
        self.state.pending_tokens -= self.pending_tokens
        self.pending_tokens = 0.0


Refusal = Unreachable | Limited | Paused | Full | Closed | OtherVersions
Outcome = Grant | Overloaded | Refusal | None
