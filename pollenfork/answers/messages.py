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
        give_up_at: Monotonic seconds.
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
