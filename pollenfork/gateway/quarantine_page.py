"""Lists quarantined requests for operators, who may release them."""

from collections.abc import Callable

import msgspec

from pollenfork import ids
from pollenfork.gateway import callers
from pollenfork.gateway import messages
from pollenfork.gateway import replies
from pollenfork.poison import crashes
from pollenfork.poison import quarantine

_PATH = b"/kept-requests"


class _Crash(msgspec.Struct):
    """A runner's crash under a request."""

    place: str
    ran_ms: int
    ago_ms: int


class _Quarantined(msgspec.Struct):
    """A quarantined request."""

    digest: str
    kept_ms: int
    ends: list[_Crash]


class QuarantinePage:
    """`GET` lists the requests, `DELETE` releases one at all instances.

    Attributes:
        path: The prefix of the page's request targets.
    """

    path = _PATH

    def __init__(
        self,
        request_quarantine: quarantine.Quarantine,
        read_time: Callable[[], float],
    ) -> None:
        """Creates the page.

        Args:
            request_quarantine: The quarantine to show.
            read_time: Returns monotonic seconds.
        """
        self._quarantine = request_quarantine
        self._read_time = read_time

    def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers an operator's request."""
        if call.method == b"GET" and call.target == _PATH:
            caller.write(replies.write_document(self._encode_list()))
            return
        if call.method == b"DELETE" and self._release(call.target):
            caller.write(replies.write_text(200, b"lifted"))
            return
        caller.write(replies.write_fault(404, "not_kept_back"))
        caller.close_after_answer()

    def _release(self, target: bytes) -> bool:
        name = target.removeprefix(_PATH + b"/")
        try:
            digest = ids.RequestDigest(int(name, 16))
        except ValueError:
            return False
        return self._quarantine.lift(digest)

    def _encode_list(self) -> bytes:
        now = self._read_time()
        quarantined = [
            _describe(history, now)
            for history in self._quarantine.list_quarantined()
        ]
        return msgspec.json.encode(quarantined)


def _describe(history: crashes.CrashHistory, now: float) -> _Quarantined:
    since = now if history.quarantined_at is None else history.quarantined_at
    listed = [
        _Crash(
            place=f"{each.runner_hash:08x}",
            ran_ms=int((each.crashed_at - each.sent_at) * 1000),
            ago_ms=int((now - each.crashed_at) * 1000),
        )
        for each in history.crashes
    ]
    return _Quarantined(
        f"{history.digest:016x}", int((now - since) * 1000), listed
    )
