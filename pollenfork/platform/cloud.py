"""Encodes the platform calls that only the duty holder makes."""

import msgspec

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.platform import names

_REPLIES = {
    200: messages.Reply.DONE,
    409: messages.Reply.UNAVAILABLE,
    429: messages.Reply.BUSY,
}


class _Usage(msgspec.Struct):
    window: int
    counts: dict[ids.AccountId, int]


class _Scaling(msgspec.Struct, rename="kebab", omit_defaults=True):
    service: str
    zone: str
    desired_count: int
    spot: bool = False


class Cloud(msgspec.Struct, frozen=True):
    """Encodes calls to the platform at one address.

    Attributes:
        host: The platform's host and port, for the `Host` header.
        instance: This instance's name.
    """

    host: str
    instance: ids.InstanceId

    def encode(self, call: messages.PlatformCall) -> bytes:
        """Returns the request that reports usage or orders runners."""
        work = call.work
        if isinstance(work, rows.ScalingOrder):
            path = names.SCALING_PATH
            pool = work.subject
            body = msgspec.json.encode(
                _Scaling(
                    pool.service, pool.data_centre, work.count, pool.reclaimable
                )
            )
        else:
            path = names.USAGE_PATH
            body = msgspec.json.encode(_Usage(work.window, work.counts))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"{names.DUTY_HOLDER}: {self.instance}\r\n"
            f"{names.FENCING_TOKEN}: {call.fencing}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def decode(self, status: int) -> messages.Reply:
        """Decodes the status of a response."""
        if status >= 500:
            return messages.Reply.BUSY
        return _REPLIES.get(status, messages.Reply.REJECTED)
