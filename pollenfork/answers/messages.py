"""Requests and limits that the front end passes to the relay."""

import msgspec

from pollenfork import ids


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it is sent to an endpoint.

    Attributes:
        headers: Headers to forward, without hop-by-hop headers and keys.
        streamed: The caller asked for server-sent events.
        idempotent: The request may safely run twice.
        first_token_due: Monotonic seconds.
        give_up_at: Monotonic seconds; no attempt starts later.
        timeout_s: Seconds for one attempt of a call that isn't streamed,
            if the settings name a timeout.
        engine: The endpoint speaks the engine protocol; a plain service
            can't resume or cancel.
        continuable: Whether to buffer the answer, so that it can be continued
            at another endpoint.
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
    """Limits of the relay; times in seconds, sizes in bytes.

    Attributes:
        connect_s: Timeout for connecting to an endpoint.
        head_s: Timeout from the sent request to the answer's head.
        head_grace_s: How long after the first-token target a stream's head
            may arrive before the request is sent elsewhere.
        stall_s: Longest pause between two reads of a running answer.
        retry_wait_s: Longest wait for another endpoint.
        cancel_s: Timeout of one cancel call.
        attempts: Attempts of one request before its first byte.
        resumes: Consecutive resumes without a new event.
        continuations: Continuations of one answer.
        max_buffer: Maximum size of one answer's compressed buffer.
        max_event: Maximum size of an event.
        max_body: Maximum size of an answer that isn't streamed.
    """

    connect_s: float = 1.0
    head_s: float = 120.0
    head_grace_s: float = 5.0
    stall_s: float = 10.0
    retry_wait_s: float = 30.0
    cancel_s: float = 1.0
    attempts: int = 4
    resumes: int = 2
    continuations: int = 3
    max_buffer: int = 256 * 1024
    max_event: int = 1024 * 1024
    max_body: int = 32 * 1024 * 1024
