"""Messages between admission and other packages."""

import enum
from typing import NewType

import msgspec

from pollenfork import ids

ClassKey = tuple[ids.Team, ids.ClassName]
PoolKey = NewType("PoolKey", str)  # A model's name, or a service's.

_SERVICE_PREFIX = "services/"


class Ask(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A request for a slot at an endpoint.

    Times are monotonic seconds of this instance.

    Attributes:
        first_token_due: The deadline of the class's first-token target.
        give_up_at: When the request is refused if it is still waiting.
        answer_due: The deadline of the class's whole-answer target, if any.
        late_refused: Whether to refuse as soon as the target can't be met.
        prefix: Hash of the start of the prompt, for prefix affinity.
        prompt_tokens: The estimated length of the prompt.
        max_tokens: The caller's limit on the answer's length, if any.
        service: Set for plain services; `model` is empty then.
        idempotent: Whether the request may safely run twice.
    """

    request: ids.RequestId
    team: ids.Team
    account: ids.AccountId
    class_name: ids.ClassName
    tier: ids.Tier
    model: ids.ModelName
    service: ids.ServiceName | None = None
    arrived: float
    first_token_due: float
    give_up_at: float
    answer_due: float | None = None
    late_refused: bool = True
    protected: bool = False
    max_waiting: int = 256
    minimum_share: float = 0.02
    account_limit: int = 64
    team_limit: int = 1024
    retry_ratio: float = 0.1
    hedge: bool = False
    prefix: int = 0
    prompt_tokens: int = 0
    max_tokens: int | None = None
    idempotent: bool = True


class RefusalReason(enum.Enum):
    """Why a request was refused; each reason has a counter.

    The outcome of a refused `Ask` is always `not_run`, as the request was never
    sent. The last four reasons are given only to an `AskAgain`, whose sender
    knows the outcome of the earlier attempts.
    """

    QUEUE_FULL = "queue_full"
    TARGET_UNREACHABLE = "target_unreachable"
    EVICTED = "evicted"
    WAITED_TOO_LONG = "waited_too_long"
    ACCOUNT_LIMIT = "account_limit"
    TEAM_LIMIT = "team_limit"
    NO_ENDPOINT = "no_endpoint"
    STOPPING = "stopping"
    CALLER_GONE = "caller_gone"
    INSTANCE_FULL = "instance_full"
    RETRY_BUDGET = "retry_budget"
    RETRY_TOO_LATE = "retry_too_late"
    RETRY_UNSAFE = "retry_unsafe"
    HEDGE_UNWANTED = "hedge_unwanted"


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The request gets no attempt, or no further one.

    Attributes:
        retry_after_s: When to retry, if a prediction exists.
    """

    request: ids.RequestId
    reason: RefusalReason
    retry_after_s: float | None = None


class Withdrawn(msgspec.Struct, frozen=True, kw_only=True):
    """The caller disconnected while the request was waiting."""

    request: ids.RequestId


def class_key(ask: Ask) -> ClassKey:
    """Returns the team and class, as class names are unique per team."""
    return ask.team, ask.class_name


def pool_key(ask: Ask) -> PoolKey:
    """Returns the pool of endpoints that can serve the request."""
    if ask.service is None:
        return PoolKey(ask.model)
    return service_key(ask.service)


def service_key(name: ids.ServiceName) -> PoolKey:
    """Returns a service's pool, distinct from a model of the same name."""
    return PoolKey(_SERVICE_PREFIX + name)
