"""The platform's calls that one instance at a time makes, as whole requests."""

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
    """The calls at one address.

    Attributes:
        host: The platform's `host:port`.
        instance: This instance's name.
    """

    host: str
    instance: ids.InstanceId

    def encode_call(self, task: messages.PlatformCall) -> bytes:
        """Returns the request that tells or orders something."""
        work = task.work
        if isinstance(work, rows.ScalingOrder):
            path = names.SCALING_PATH
            about = work.subject
            body = msgspec.json.encode(
                _Scaling(
                    about.service,
                    about.data_centre,
                    work.count,
                    about.reclaimable,
                )
            )
        else:
            path = names.USAGE_PATH
            body = msgspec.json.encode(_Usage(work.window, work.counts))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"{names.HOLDER}: {self.instance}\r\n"
            f"{names.FENCING}: {task.fencing}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def decode_reply(self, status: int) -> messages.Reply:
        """Decodes the status of an answer."""
        if status >= 500:
            return messages.Reply.BUSY
        return _REPLIES.get(status, messages.Reply.REJECTED)
