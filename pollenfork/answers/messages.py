"""What the entry hands to the relay."""

import msgspec

from pollenfork import ids


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it goes to an endpoint.

    Attributes:
        headers: Those to pass on; hop-by-hop and keys are left out.
        streamed: The caller asked for server-sent events.
        idempotent: A second run does no harm.
        first_token_due: Monotonic seconds.
        give_up_at: Monotonic seconds; no attempt starts later.
        timeout_s: Seconds for one attempt of a call that isn't streamed,
            where the settings name one.
        engine: The endpoint speaks the engine protocol; a plain service
            can't resume or cancel.
        continuable: Keep what was relayed, so that the answer can be
            continued at another endpoint.
    """

    request: ids.RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streamed: bool
    idempotent: bool
    first_token_due: float
    give_up_at: float
    timeout_s: float | None = None
    engine: bool = True
    continuable: bool = True


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the relay; times in seconds, sizes in bytes.

    Attributes:
        connect_s: For a connection to an endpoint.
        head_s: From a sent request to the answer's head.
        late_s: How much later than its target the head of a stream may come
            before the request goes elsewhere.
        stall_s: Between two reads of a running answer.
        again_s: The longest wait for another endpoint.
        cancel_s: For one cancel call.
        attempts: Sendings of one request before its first byte.
        resumes: Resumes in a row without a new event.
        continuations: Continuations of one answer.
        kept: What is kept of one answer, compressed.
        event: The longest event.
        whole: The longest answer that isn't streamed.
    """

    connect_s: float = 1.0
    head_s: float = 120.0
    late_s: float = 5.0
    stall_s: float = 10.0
    again_s: float = 30.0
    cancel_s: float = 1.0
    attempts: int = 4
    resumes: int = 2
    continuations: int = 3
    kept: int = 256 * 1024
    event: int = 1024 * 1024
    whole: int = 32 * 1024 * 1024
