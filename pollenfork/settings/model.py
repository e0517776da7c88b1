"""The settings tree as typed, validated data (JSON on the wire).

The root holds the settings shared by all teams and each team's ceiling; a
team's subtree holds its classes and accounts.
"""

import enum
from typing import Annotated

import msgspec

from pollenfork import ids

TIER_COUNT = 7

Positive = Annotated[int, msgspec.Meta(gt=0)]
TierNumber = Annotated[int, msgspec.Meta(ge=0, lt=TIER_COUNT)]
Share = Annotated[float, msgspec.Meta(ge=0, le=0.2)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]


class LatePolicy(enum.Enum):
    """How to handle a request that can't meet its target."""

    REFUSE = "refuse"
    WAIT = "wait"


class EndpointKind(enum.Enum):
    """What an endpoint runs."""

    RUNNER = "runner"
    SERVICE = "service"


class ServiceClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One service class of a team.

    Attributes:
        tier: 0 is the most urgent.
        target_first_token_ms: Target from arrival to first token.
        target_gap_ms: Target time between two tokens.
        target_answer_ms: Target for the complete answer, if any.
        protected: Never shed or preempted to make room for a lower tier.
        when_late: Whether to refuse or queue a request that can't meet its
            target.
        max_wait_ms: Longest time in a queue before a refusal.
        max_waiting: Requests of the class that may wait at one instance.
        minimum_share: Fraction of each endpoint's slots that keeps the class
            progressing under load from more urgent tiers.
        retry_ratio: Retries and hedges allowed for each request.
        hedge: Whether a hedged request may be sent before the first token.
    """

    tier: TierNumber
    target_first_token_ms: Positive = 1300
    target_gap_ms: Positive = 49
    target_answer_ms: Positive | None = None
    protected: bool = False
    when_late: LatePolicy = LatePolicy.REFUSE
    max_wait_ms: Positive = 30_000
    max_waiting: Positive = 256
    minimum_share: Share = 0.02
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    hedge: bool = False


class Account(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One client account; its key is kept only as a SHA-256 hex digest."""

    key_sha256: Digest
    classes: tuple[ids.ClassName, ...]
    default_class: ids.ClassName
    max_in_flight: Positive = 64


class TeamSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The subtree of one team."""

    classes: dict[ids.ClassName, ServiceClass]
    accounts: dict[ids.AccountId, Account] = {}
    max_in_flight: Positive = 1024


class Ceiling(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The limits of a team; set at the root only.

    Attributes:
        operator_sha256: Digests of the tokens that may change the team's
            subtree.
        best_tier: The most urgent tier that the team's classes may use.
        may_protect: Whether the team's classes may be protected.
    """

    operator_sha256: tuple[Digest, ...] = ()
    best_tier: TierNumber = 0
    may_protect: bool = False
    max_in_flight: Positive = 1024
    max_minimum_share: Share = 0.05


class EndpointSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One endpoint.

    Attributes:
        address: `host:port`.
        group: Endpoints with the same hardware, compared to detect stragglers.
        models: Models to keep loaded, each as `name` or `name@version`.
        adapters: Adapters to keep loaded, in the same form.
        role: Desired role; empty leaves the role unchanged.
        slots: Planned number of requests that the endpoint batches at once.
        checks_fencing: The endpoint refuses orders with an old fencing number.
    """

    address: str
    data_centre: ids.DataCentre
    kind: EndpointKind = EndpointKind.RUNNER
    group: str = "default"
    models: tuple[ids.ModelName, ...] = ()
    adapters: tuple[ids.ModelName, ...] = ()
    role: str = ""
    slots: Positive = 16
    checks_fencing: bool = False


class ServiceSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One HTTP service other than the engines.

    Attributes:
        endpoints: Names of the endpoints that serve it.
        repeatable_methods: HTTP methods that may be retried.
        timeout_ms: Timeout of one attempt.
    """

    endpoints: tuple[ids.EndpointId, ...]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    timeout_ms: Positive = 10_000


class RootSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The root of the tree.

    Attributes:
        operator_sha256: Digests of the tokens that may change the whole tree.
        ceilings: One for each team; a team without one has no subtree.
    """

    operator_sha256: tuple[Digest, ...] = ()
    ceilings: dict[ids.Team, Ceiling] = {}
    endpoints: dict[ids.EndpointId, EndpointSettings] = {}
    services: dict[ids.ServiceName, ServiceSettings] = {}


class Tree(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The whole tree at one revision."""

    root: RootSettings
    teams: dict[ids.Team, TeamSettings] = {}
    revision: ids.Revision = ids.Revision(0)
