"""Settings and faults of the platform stand-in."""

import enum
from typing import Annotated

import msgspec

from pollenfork.store import edges

Positive = Annotated[int, msgspec.Meta(gt=0)]
PositiveRate = Annotated[float, msgspec.Meta(gt=0)]
Time = Annotated[float, msgspec.Meta(ge=0)]


class Operation(enum.Enum):
    """One kind of call to the platform."""

    READ = "read"
    SCAN = "scan"
    COMMIT = "commit"
    FETCH = "fetch"
    STORE = "store"
    REMOVE = "remove"
    INSTANCES = "instances"
    PERMIT = "permit"


class Loss(enum.Enum):
    """When a call's answer is lost."""

    BEFORE_EFFECT = "before_effect"
    AFTER_EFFECT = "after_effect"


class Faults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults to inject at the platform; all can be changed at run time.

    Attributes:
        down: Calls are refused as unavailable, without effect.
        throttle: Calls are refused as over the rate limit, without effect.
        lose: Answers are lost, before or after the call's effect.
        delay_s: Delay added to each call.
        stale_list: The instance list is frozen at its present content.
        only: The affected operations; empty means all.
        times: Number of calls that are refused or lost; None means all.
    """

    down: bool = False
    throttle: bool = False
    lose: Loss | None = None
    delay_s: Time = 0.0
    stale_list: bool = False
    only: tuple[Operation, ...] = ()
    times: Positive | None = None


class PlatformConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the platform stand-in.

    Attributes:
        listen: `host:port`; port 0 picks a free port.
        reads_per_s: Rate limit for reads; excess reads are throttled.
        writes_per_s: Rate limit for writes.
        permits_per_s: Rate limit for read permits of the weight store.
        list_lag_s: Delay until a change of the instance list is visible.
        instances: The instance list at the start.
        threads: Number of calls served concurrently.
    """

    listen: str = "127.0.0.1:0"
    reads_per_s: PositiveRate = 2000.0
    writes_per_s: PositiveRate = 500.0
    permits_per_s: PositiveRate = 1.0
    list_lag_s: Time = 0.0
    instances: tuple[edges.ListedInstance, ...] = ()
    threads: Positive = 16
    faults: Faults = Faults()
