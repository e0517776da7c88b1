"""Bounds the bytes held for callers and runners that read slowly.

Transports buffer without a limit what their peer doesn't read. The account
measures these buffers and the bodies held, and pauses the reading of a runner's
answer once its caller's unread bytes exceed the caller's limit: the free part
of the bound less a reserve, and its own share at most. The limit falls as the
account fills, so the callers that hold most are paused first, and callers that
read are not affected.
"""

from collections.abc import Callable
import logging
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from pollenfork import metrics

_LOG = logging.getLogger(__name__)

# Share of the process's memory limit. A process takes 30 MB without traffic and
# at most 64 MB more for its state, of 160 MB on the smallest instances, and the
# memory of freed buffers isn't returned to the system at once.
_BUFFER_SHARE = 0.25
# The part of the bound that is kept for callers that hold little, for what is
# read at once before a runner is paused, and for new bodies.
_RESERVE = 1 / 8
# A caller that holds no more than this, which is one answer of the largest
# usual size, is paused only when the bound is reached. Pauses come after each
# read, so 500 callers exceed their limits by 2.5 MB in all, and without this
# least limit the callers that read were paused too.
_LEAST_LIMIT_BYTES = 16 * 1024
# The most that is held for one caller before the reading from its runner is
# paused: more than a hundred answers of the usual 1 to 10 KB, and 0.4 s on a
# link of 5 Mbit/s.
CALLER_SHARE_BYTES = 256 * 1024
# A paused runner is read again below this part of the caller's limit. It is
# high, so that a runner is read in small steps rather than left unread for
# seconds.
_RESUME_FACTOR = 0.75
# All buffers are measured again after the account has grown by this part of
# the bound, since drained bytes aren't reported. It bounds the cost of a
# measurement over all callers.
_REMEASURE_FACTOR = 1 / 64
# Seconds after which a caller whose body doesn't fit shall retry. In this time
# a link of 5 Mbit/s drains the most that is held for one caller.
RETRY_AFTER_S = 0.5
# While a body is sent, the rest of its encoded copy is held beside it.
_COPIES = 2

_PAUSED = "event=reading_paused "
_RESUMED = "event=reading_resumed "
_SIZES = (
    "unread_bytes=%d caller_bytes=%d held_bytes=%d bound_bytes=%d callers=%d"
)


class Transport(Protocol):
    """The connection of a caller, as far as its buffers are concerned."""

    def count_unread(self) -> int:
        """Returns the bytes written that the caller hasn't read."""

    def count_received(self) -> int:
        """Returns the bytes of received bodies that aren't served yet."""


class Source(Protocol):
    """The connection to a runner, as far as its buffers are concerned."""

    def count_unsent(self) -> int:
        """Returns the bytes of the request that the runner hasn't read."""

    def pause(self) -> None:
        """Stops reading."""

    def resume(self) -> None:
        """Resumes reading."""


class Account:
    """The bytes that a process holds for all callers and runners.

    Attributes:
        bound: The bound on these bytes; None: no bound.
        total: The bytes held, as last measured.
        answer_bytes: The bytes of answers that aren't whole yet, whether the
            bound applies or not.
        callers: The buffers of connected callers.
    """

    def __init__(self, memory_bytes: int | None = None) -> None:
        """Creates an inactive account.

        Args:
            memory_bytes: The process's memory limit; None: no bound.
        """
        self.bound = (
            None if memory_bytes is None else int(memory_bytes * _BUFFER_SHARE)
        )
        self.total = 0
        self.answer_bytes = 0
        self.callers: set[CallerBuffers] = set()
        self._measured = 0
        self._active = False

    @property
    def active(self) -> bool:
        """Whether the bound applies."""
        return self._active

    @property
    def free(self) -> int:
        """The bytes that may still be held."""
        return max(0, (self.bound or 0) - self.total)

    @property
    def caller_limit(self) -> int:
        """The unread bytes of a caller above which reading is paused."""
        free = self.free
        if not free:
            return 0
        spare = free - int((self.bound or 0) * _RESERVE)
        return min(CALLER_SHARE_BYTES, max(_LEAST_LIMIT_BYTES, spare))

    def set_forecast(self, forecast: bool) -> None:
        """Applies whether the configuration has a forecast service."""
        active = forecast and self.bound is not None
        if active == self._active:
            return
        self._active = active
        self.total = 0
        for each in self.callers:
            each.switch()
        self.refresh()

    def has_room(self, size: int) -> bool:
        """Returns whether further `size` bytes of bodies can be held."""
        if not self._active or size < self.free:
            return True
        self.refresh()
        return size < self.free

    def add(self, change: int) -> None:
        """Applies a change of one caller's buffers."""
        self.total += change
        if self.bound is None or not self._active:
            return
        if self.total - self._measured > self.bound * _REMEASURE_FACTOR:
            self.refresh()

    def show(self, output: "metrics.Metrics") -> None:
        """Exports the bytes held, where the bound applies."""
        if self._active:
            self.refresh()
            output.set_gauge("pollenfork_buffered_bytes", self.total)

    def refresh(self) -> None:
        """Measures all buffers, then pauses or resumes reading."""
        if not self._active:
            return
        self.total = sum(each.measure() for each in self.callers)
        self._measured = self.total
        for each in self.callers:
            each.regulate()


class CallerBuffers:
    """What is held for one caller and for the runner that answers it."""

    def __init__(self, account: Account, transport: Transport) -> None:
        """Creates the buffers; `open` adds them to the account.

        Args:
            account: The account of the process.
            transport: The caller's connection.
        """
        self._account = account
        self._transport = transport
        self._body_bytes = 0
        self._answer_bytes = 0
        self._source: Source | None = None
        self._on_paused: Callable[[bool], None] = _ignore
        self._is_paused = False
        self._is_full = False
        self._held = 0

    @property
    def paused(self) -> bool:
        """Whether the reading from the runner is paused."""
        return self._is_paused

    def begin(self, body_bytes: int) -> bool:
        """Adds a request's body; returns False if it doesn't fit."""
        if not self._account.has_room(body_bytes * _COPIES):
            return False
        self._body_bytes = body_bytes
        self.update()
        return True

    def end(self) -> None:
        """Removes the request; what the caller hasn't read stays."""
        self._body_bytes = 0
        self._is_full = False
        self.update()

    def attach(self, source: Source, on_paused: Callable[[bool], None]) -> None:
        """Starts to regulate the reading of an answer.

        Args:
            source: The connection to the runner.
            on_paused: Called when the account pauses or resumes reading.
        """
        self._source = source
        self._on_paused = on_paused
        self.update()

    def detach(self) -> None:
        """Stops regulating; the connection may be used for other requests."""
        if self._is_paused and self._account.active:
            self._set_paused(False)
        self._source = None
        self._on_paused = _ignore
        self._is_paused = False
        self._drop_answer()
        self.update()

    def open(self) -> None:
        """Adds the buffers of a newly connected caller."""
        self._account.callers.add(self)

    def close(self) -> None:
        """Removes all that is held for a disconnected caller."""
        self._account.callers.discard(self)
        self._drop_answer()
        self._account.add(-self._held)
        self._held = 0

    def record_full(self, full: bool) -> None:
        """Handles a write buffer that fills or drains."""
        self._is_full = full
        if self._account.active:
            self.update()
        else:
            self._set_paused(full)

    def record_answer(self, size: int) -> bool:
        """Adds a piece of an answer that is sent only when it is whole.

        Its reading is never paused: the rest is needed to send any of it.

        Returns:
            Whether there is room for it. Long answers are given up once all of
            them together exceed the bound.
        """
        self._answer_bytes += size
        self._account.answer_bytes += size
        self.update()
        bound = self._account.bound
        if bound is None or self._answer_bytes <= CALLER_SHARE_BYTES:
            return True
        return self._account.answer_bytes <= bound

    def update(self) -> None:
        """Measures the buffers, then pauses or resumes reading."""
        if not self._account.active or self not in self._account.callers:
            return
        before = self._held
        self._account.add(self.measure() - before)
        self.regulate()

    def measure(self) -> int:
        """Returns the bytes held now."""
        unsent = 0 if self._source is None else self._source.count_unsent()
        self._held = (
            self._transport.count_unread()
            + self._transport.count_received()
            + self._body_bytes
            + self._answer_bytes
            + unsent
        )
        return self._held

    def regulate(self) -> None:
        """Pauses or resumes reading according to the caller's limit."""
        limit = self._account.caller_limit
        unread = self._transport.count_unread()
        if self._is_paused:
            if unread <= limit * _RESUME_FACTOR:
                self._set_paused(False)
        elif unread > limit:
            self._set_paused(True)

    def switch(self) -> None:
        """Applies the rule that holds after the account was switched."""
        self._held = 0
        if not self._account.active:
            self._set_paused(self._is_full)

    def _drop_answer(self) -> None:
        self._account.answer_bytes -= self._answer_bytes
        self._answer_bytes = 0

    def _set_paused(self, paused: bool) -> None:
        if self._source is None:
            return
        is_changed = paused != self._is_paused
        self._is_paused = paused
        if paused:
            self._source.pause()
        else:
            self._source.resume()
        if is_changed:
            self._on_paused(paused)
        if not self._account.active:
            return
        _LOG.info(
            (_PAUSED if paused else _RESUMED) + _SIZES,
            self._transport.count_unread(),
            self._held,
            self._account.total,
            self._account.bound,
            len(self._account.callers),
        )


def _ignore(paused: bool) -> None:
    """Ignores that reading is paused or resumed."""
