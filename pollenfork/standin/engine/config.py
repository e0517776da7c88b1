"""Settings and faults of one engine stand-in."""

import enum
from typing import Annotated

import msgspec

from pollenfork import ids

Positive = Annotated[int, msgspec.Meta(gt=0)]
PositiveTime = Annotated[float, msgspec.Meta(gt=0)]
Time = Annotated[float, msgspec.Meta(ge=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]


class CrashPoint(enum.Enum):
    """Where in an answer the connection breaks."""

    BEFORE_FIRST = "before_first"
    MIDWAY = "midway"
    AT_END = "at_end"  # After the last token, before the finish marker.


class Crash(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Answers that break off.

    Attributes:
        after_tokens: Tokens sent before a break midway.
        resumable: The engine keeps the stream for a resume.
        times: How many answers break; None breaks every one.
    """

    when: CrashPoint
    after_tokens: Positive = 8
    resumable: bool = True
    times: Positive | None = None


class Faults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What goes wrong at the engine; all of it can change at run time.

    Attributes:
        slowdown: Factor on the time of each step; above 1 it is a straggler.
        refuse: New requests get 503 with `X-Outcome: not_run`.
        load_age_s: Age of the load report.
        load_frozen: The report stays as it was, and claims the same age.
        drop_cache_events: Part of the cache events that is lost.
        cache_delay_s: Delay of the cache events.
        ignore_fencing: Orders with an old fencing number are carried out.
        leaving: Not ready; new requests are refused.
        down: Every connection is dropped and all work is lost.
        close_cancels: A caller's closed connection cancels its request.
    """

    slowdown: PositiveTime = 1.0
    crash: Crash | None = None
    refuse: bool = False
    load_age_s: Time = 0.0
    load_frozen: bool = False
    drop_cache_events: Ratio = 0.0
    cache_delay_s: Time = 0.0
    ignore_fencing: bool = False
    leaving: bool = False
    down: bool = False
    close_cancels: bool = True


class EngineConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One engine stand-in.

    One step gives each request of the batch one token. It lasts `step_ms`,
    plus `step_per_request_ms` for each request in the batch, plus
    `prefill_token_ms` for each prompt token processed in it.

    Attributes:
        listen: `host:port`; port 0 takes a free one.
        slots: Requests in the batch.
        max_waiting: Requests in the queue; one more is refused as not run.
        prefill_tokens: Prompt tokens processed in one step at most.
        kv_tokens: Tokens that the KV memory holds.
        cache_blocks: Prompt blocks that the prefix cache holds.
        keep_stream_s: How long a broken or finished stream is kept.
        default_length: Median length of answers that state none.
        keep_alive: A connection may carry several requests.
    """

    listen: str = "127.0.0.1:0"
    models: tuple[ids.ModelName, ...] = (ids.ModelName("model"),)
    slots: Positive = 16
    max_waiting: Annotated[int, msgspec.Meta(ge=0)] = 64
    step_ms: PositiveTime = 25.0
    step_per_request_ms: Time = 0.5
    prefill_token_ms: Time = 0.05
    prefill_tokens: Positive = 2048
    kv_tokens: Positive = 65_536
    cache_blocks: Annotated[int, msgspec.Meta(ge=0)] = 256
    keep_stream_s: PositiveTime = 10.0
    default_length: Positive = 64
    keep_alive: bool = True
    faults: Faults = Faults()
