"""What other slices say to admission and hear from it."""

import enum
from typing import NewType

import msgspec

from pollenfork import ids

ClassKey = tuple[ids.Team, ids.ClassName]
PoolKey = NewType("PoolKey", str)  # A model's name, or a service's.

_SERVICE_PREFIX = "services/"


class Ask(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A request that wants a slot at an endpoint.

    Times are monotonic seconds of this instance.

    Attributes:
        first_token_due: When the class's first-token target runs out.
        give_up_at: When the wait ends with a refusal.
        answer_due: When the class's whole-answer target runs out, if any.
        late_refused: Refuse as soon as the target can't be met.
        prefix: Hash of the prompt's head, for prefix affinity.
        prompt_tokens: Estimate.
        max_tokens: The caller's own bound on the answer, if any.
        service: Set for plain services; `model` is empty then.
        idempotent: A second run does no harm.
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
    """Why a request was given up; each has its counter.

    The answer to a first ask is always `not_run`: the request was never
    sent. The last four answer only an `AskAgain`; what the earlier attempts
    did is known to whoever asked.
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
    """The request gets no (further) attempt.

    Attributes:
        retry_after_s: When to come back, where a prediction exists.
    """

    request: ids.RequestId
    reason: RefusalReason
    retry_after_s: float | None = None


class Withdrawn(msgspec.Struct, frozen=True, kw_only=True):
    """The caller went away while the request was waiting."""

    request: ids.RequestId


def class_key(ask: Ask) -> ClassKey:
    """Returns the class's name, which is unique only inside its team."""
    return ask.team, ask.class_name


def pool_key(ask: Ask) -> PoolKey:
    """Returns what the request needs of an endpoint."""
    if ask.service is None:
        return PoolKey(ask.model)
    return service_key(ask.service)


def service_key(name: ids.ServiceName) -> PoolKey:
    """Returns the pool of a service, apart from any model of that name."""
    return PoolKey(_SERVICE_PREFIX + name)
