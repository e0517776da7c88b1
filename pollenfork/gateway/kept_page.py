"""Shows operators which requests are kept back, and lets them lift that."""

from collections.abc import Callable

import msgspec

from pollenfork import ids
from pollenfork.gateway import callers
from pollenfork.gateway import messages
from pollenfork.gateway import replies
from pollenfork.poison import cases
from pollenfork.poison import quarantine

_PATH = b"/kept-requests"


class _End(msgspec.Struct):
    """An end that speaks against a request."""

    place: str
    ran_ms: int
    ago_ms: int


class _Kept(msgspec.Struct):
    """A request that is kept back."""

    digest: str
    kept_ms: int
    ends: list[_End]


class KeptPage:
    """`GET` lists them, `DELETE` of one lifts it at all instances.

    Attributes:
        path: What targets begin with.
    """

    path = _PATH

    def __init__(
        self,
        suspected: quarantine.Quarantine,
        read_time: Callable[[], float],
    ) -> None:
        """Takes what it needs.

        Args:
            suspected: What is known.
            read_time: Returns monotonic seconds.
        """
        self._suspected = suspected
        self._read_time = read_time

    def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers an operator."""
        if call.method == b"GET" and call.target == _PATH:
            caller.write(replies.write_document(self._write()))
            return
        if call.method == b"DELETE" and self._lift(call.target):
            caller.write(replies.write_text(200, b"lifted"))
            return
        caller.write(replies.write_fault(404, "not_kept_back"))
        caller.close_after_answer()

    def _lift(self, target: bytes) -> bool:
        name = target.removeprefix(_PATH + b"/")
        try:
            digest = ids.RequestDigest(int(name, 16))
        except ValueError:
            return False
        return self._suspected.lift(digest)

    def _write(self) -> bytes:
        now = self._read_time()
        kept = [_describe(case, now) for case in self._suspected.list_kept()]
        return msgspec.json.encode(kept)


def _describe(case: cases.Case, now: float) -> _Kept:
    since = now if case.kept_since is None else case.kept_since
    ends = [
        _End(
            place=f"{each.place:08x}",
            ran_ms=int((each.ended_at - each.sent_at) * 1000),
            ago_ms=int((now - each.ended_at) * 1000),
        )
        for each in case.ends
    ]
    return _Kept(f"{case.digest:016x}", int((now - since) * 1000), ends)
