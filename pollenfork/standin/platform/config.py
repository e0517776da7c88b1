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
    """What goes wrong at the platform; all of it can change at run time.

    Attributes:
        down: Calls are refused without effect.
        throttle: Calls are refused for their rate, without effect.
        lose: Answers are lost, before or after the call's effect.
        delay_s: Time that each call takes.
        stale_list: The instance list stays as it was.
        only: The operations concerned; none named means all.
        times: How many calls are refused or lost; None means every one.
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
    """The platform stand-in.

    Attributes:
        listen: `host:port`; port 0 takes a free one.
        reads_per_s: Reads beyond it are refused for their rate.
        writes_per_s: The same for writes.
        permits_per_s: Permits of the weight store.
        list_lag_s: Age of the instance list.
        instances: The list at the start.
        threads: Calls served at once.
    """

    listen: str = "127.0.0.1:0"
    reads_per_s: PositiveRate = 2000.0
    writes_per_s: PositiveRate = 500.0
    permits_per_s: PositiveRate = 1.0
    list_lag_s: Time = 0.0
    instances: tuple[edges.ListedInstance, ...] = ()
    threads: Positive = 16
    faults: Faults = Faults()
