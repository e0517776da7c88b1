"""Candidate runners for a request, and the costs used to compare them."""

import msgspec
import xxhash

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import runner_state

# Prompt tokens that a runner processes per second, from the operators' data
# sheet.
PREFILL_TOKENS_PER_S = 56_600.0
# Up to this mean backlog, in seconds, a fleet counts as merely busy.
_NORMAL_BACKLOG_S = 0.25
# Processing cached parts again on another runner takes capacity from everyone
# and evicts parts that others share, so it counts for more than its own time.
_MOVE_WEIGHT = 3.0
# How much the weight of a move grows per second of mean backlog. Without this,
# prompts move around under overload and evict each other from the runners'
# caches, and the fleet doesn't recover while the load lasts.
_BACKLOG_MOVE_WEIGHT = 60.0
# Runners are reserved for requests of the most urgent tier so that each has
# this many of them in flight, within the fractions of the service below. While
# a runner processes long prompts, each step of its batch takes about 45 ms
# instead of 8, and the tokens of all its streams arrive too slowly; with 25
# streams and their own prompts a step takes about 20 ms. One runner per 25
# takes more runners from other requests than urgent streams need: under
# overload by long prompts it scored 0.02 lower, the mean of six days. One per
# 50 scored 0.002 lower than one per 35 on calmer days.
_STREAMS_PER_RUNNER = 35
# Upper bound on urgent requests per reserved runner, as a fraction of its
# slots: a request that finds no free slot waits for another answer to end. Of
# 32 slots, using 24 leaves room for two standard deviations of the arrivals
# meanwhile. In 18 s with a burst on 59 runners of 32 slots, 556 of 1,665
# urgent streams were late at 35 each, 376 with this bound, and 260 with 0.55,
# which cost other prompts as much as it gained.
_RESERVED_SLOT_SHARE = 0.75
_MIN_RESERVED = 0.1
_MAX_RESERVED = 0.4
# The cost added to unreserved runners for urgent requests, in seconds: they go
# there once the reserved runners are loaded that much more.
_UNRESERVED_COST_S = 0.25


class RequestProfile(msgspec.Struct, frozen=True):
    """What a request needs of a runner.

    Attributes:
        service: The service.
        parts: The prompt's parts; the last one is unique to the request.
        top_tier: Whether it is of the most urgent of several tiers; None if
            the service has only one tier.
        copy_s: Seconds that a runner takes to copy one prompt token from
            another runner; None if it can't.
        tier: The request's tier; 0 is the most urgent.
        retriable: Whether it may be sent to another runner after a refusal.
        idempotent: Whether it may run more than once.
        forecast: Whether its runner is chosen by a forecast of the answer.
        target_s: Target time to the first event, in seconds.
        gap_s: Target for the longest pause between events, in seconds.
        needed_tokens: KV cache tokens that it holds when it ends: its
            prompt and its expected output; 0 if it isn't forecast.
        cache_tokens: Tokens that a runner's KV cache holds; 0 if unknown.
        event_tokens: Tokens in one event of its answer.
        version: The only software version that may serve it, as it has begun
            a stream; None: any.
        resumable: Whether it is for a stream that may go on at another runner
            of the version that begins it.
    """

    service: ids.ServiceName
    parts: tuple[model.Part, ...] = ()
    top_tier: bool | None = None
    copy_s: float | None = None
    tier: ids.Tier = ids.Tier(0)
    retriable: bool = True
    idempotent: bool = False
    forecast: bool = False
    target_s: float = 0.0
    gap_s: float = 0.0
    needed_tokens: int = 0
    cache_tokens: int = 0
    event_tokens: int = 1
    version: ids.SoftwareVersion | None = None
    resumable: bool = False

    def fits(self, runner: model.Runner) -> bool:
        """Returns whether a runner's software may serve the request.

        Runners that name no version may differ from each other.
        """
        if self.version is None:
            return True
        return bool(self.version) and runner.version == self.version

    @property
    def shared(self) -> tuple[model.Part, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def unshared_tokens(self) -> int:
        """The length of the unique part, which no runner has cached."""
        return self.parts[-1].tokens if self.parts else 0


class Candidate(msgspec.Struct):
    """A runner considered for a request.

    Attributes:
        runner: The runner.
        state: This instance's state of the runner.
        cost: Weighted cost in seconds until the first token.
        uncached_tokens: Tokens of the shared parts that it hasn't cached.
        prefill_tokens: Tokens of the shared parts that it would process; a
            copy counts as the tokens it could process in the same time.
        pending_tokens: Prompt tokens queued ahead of the request.
        top_tier: Requests of the most urgent tier that it is running.
        source: The runner from which it would copy the shared parts.
        active: Requests that it is running.
        held_tokens: KV cache tokens that requests of all instances hold there.
        queue_s: Expected seconds until it can begin with the request; 0 if it
            isn't forecast.
        own_held_tokens: The part of `held_tokens` that requests of this
            instance hold.
        forecast_s: Expected seconds until the first event; None: not forecast.
    """

    runner: model.Runner
    state: runner_state.RunnerState
    cost: float = 0.0
    uncached_tokens: int = 0
    prefill_tokens: float = 0.0
    pending_tokens: float = 0.0
    top_tier: int = 0
    source: model.Runner | None = None
    active: int = 0
    held_tokens: int = 0
    queue_s: float = 0.0
    own_held_tokens: int = 0
    forecast_s: float | None = None


def reserve_runners(
    profile: RequestProfile, found: list[Candidate]
) -> list[Candidate]:
    """Returns the candidates that the request may use.

    A request of the most urgent tier may use all, but unreserved ones cost
    more. Other requests may use only unreserved ones.
    """
    ranked = sorted(found, key=lambda each: each.state.incarnation_hash)
    return apply_reservation(profile, ranked)


def apply_reservation(
    profile: RequestProfile, ranked: list[Candidate]
) -> list[Candidate]:
    """Returns the candidates that the request may use.

    Args:
        profile: What the request needs.
        ranked: All candidates; the first ones are reserved.
    """
    least = round(len(ranked) * _MIN_RESERVED)
    most = int(len(ranked) * _MAX_RESERVED)
    count = max(least, min(_count_needed(ranked), most))
    if not profile.top_tier:
        return ranked[count:]
    if count:
        for candidate in ranked[count:]:
            candidate.cost += _UNRESERVED_COST_S
    return ranked


def _count_needed(ranked: list[Candidate]) -> int:
    """Returns how many of the first runners the urgent requests need."""
    left = float(sum(each.top_tier for each in ranked))
    for count, candidate in enumerate(ranked):
        if left <= 0.0:
            return count
        left -= min(
            _STREAMS_PER_RUNNER, candidate.runner.slots * _RESERVED_SLOT_SHARE
        )
    return len(ranked)


def add_cache_miss_costs(
    profile: RequestProfile, found: list[Candidate], mean_backlog_s: float
) -> None:
    """Adds the cost of processing shared parts that a runner hasn't cached."""
    weight = find_move_weight(mean_backlog_s)
    owner = _find_hash_owner(profile, found)
    for candidate in found:
        if candidate is not owner:
            candidate.cost += (
                candidate.uncached_tokens * weight / PREFILL_TOKENS_PER_S
            )


def find_move_weight(mean_backlog_s: float) -> float:
    """Returns how much processing a cached part elsewhere counts.

    Args:
        mean_backlog_s: The mean prompt backlog of the runners, in seconds.
    """
    return _MOVE_WEIGHT + _BACKLOG_MOVE_WEIGHT * max(
        0.0, mean_backlog_s - _NORMAL_BACKLOG_S
    )


def _find_hash_owner(
    profile: RequestProfile, found: list[Candidate]
) -> Candidate | None:
    """Returns the owner, by rendezvous hashing, of parts cached nowhere.

    None if any part is known to be cached. An instance that has just started
    knows of no placement, but most prompts have been sent to their hash owner.
    """
    total = sum(part.tokens for part in profile.shared)
    if any(each.uncached_tokens < total for each in found):
        return None
    key = b",".join(part.name for part in profile.shared)
    return max(
        found,
        key=lambda each: xxhash.xxh64_intdigest(
            key, each.state.incarnation_hash
        ),
    )
