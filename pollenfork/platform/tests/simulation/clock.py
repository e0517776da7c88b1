"""An event loop whose time passes only while everybody waits."""

import asyncio
from collections.abc import Callable
import contextvars
import heapq
from typing import Any, NamedTuple

# The host whose code runs; what it opens comes from there.
HERE: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class _Selector:
    """Lets time pass instead of waiting for sockets."""

    def __init__(self, loop: "Loop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        """Moves the clock to the next timer."""
        if timeout is None:
            raise RuntimeError("everybody waits for something without a timer")
        self._loop.advance(timeout)
        return []

    def close(self) -> None:
        """Has nothing to close."""


class _Held(NamedTuple):
    """What is due at a host that stands still."""

    handle: asyncio.Handle | None
    callback: Callable[..., Any]
    args: tuple[Any, ...]
    context: contextvars.Context


class Loop(asyncio.BaseEventLoop):
    """Runs tasks and timers in simulated time; a second takes none."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        self._may_stall = False
        self._stalled: dict[str, list[_Held]] = {}
        self._selector = _Selector(self)

    def time(self) -> float:
        """Returns simulated seconds since the start."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self._now_s += max(0.0, seconds)
        scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore
        if scheduled:
            # A sum of floats may fall a little short of the next timer.
            due = heapq.nsmallest(1, scheduled)[0].when()
            if 0.0 < due - self._now_s < 1e-6:
                self._now_s = due

    def allow_stalls(self) -> None:
        """Lets hosts stand still from now on; each call costs more then."""
        self._may_stall = True

    def stall(self, host: str, seconds: float) -> None:
        """Lets a host's process stand still; all that is due there waits."""
        if host not in self._stalled:
            self._stalled[host] = []
            context = contextvars.Context()
            super().call_later(seconds, self._wake, host, context=context)

    def run_at(
        self, host: str, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Runs code as a host's own, once its process runs."""
        context = contextvars.copy_context()
        context.run(HERE.set, host)
        context.run(self._run_awake, [], callback, args)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Runs code in the next round of the loop."""
        if not self._may_stall:
            return super().call_soon(callback, *args, context=context)
        box: list[asyncio.Handle] = []
        handle = super().call_soon(
            self._run_awake, box, callback, args, context=context
        )
        box.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Runs code at a moment."""
        if not self._may_stall:
            return super().call_at(when, callback, *args, context=context)
        box: list[asyncio.Handle] = []
        handle = super().call_at(
            when, self._run_awake, box, callback, args, context=context
        )
        box.append(handle)
        return handle

    def _run_awake(
        self,
        box: list[asyncio.Handle],
        callback: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        held = self._stalled.get(HERE.get())
        if held is None:
            callback(*args)
            return
        handle = box[0] if box else None
        held.append(_Held(handle, callback, args, contextvars.copy_context()))

    def _wake(self, host: str) -> None:
        for each in self._stalled.pop(host):
            if each.handle is None or not each.handle.cancelled():
                super().call_soon(
                    each.callback, *each.args, context=each.context
                )

    def _process_events(self, events: list[Any]) -> None:
        """Has no sockets."""

    def _write_to_self(self) -> None:
        """Has no other threads to wake it."""
