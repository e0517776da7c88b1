"""Queues crashes and clearances of requests to be sent to other instances."""

import collections
from collections.abc import Iterator

import msgspec

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.poison import crashes
from pollenfork.poison import tracker

# How often an update is sent, each time to three instances.
_TRANSMISSIONS = 3
# The largest burst of updates, and how many more may be sent per second. A
# crash takes about 27 bytes, so this is 13 KB/s with three receivers. The crash
# of one runner counts against up to 64 requests, as many as it has slots.
_BURST = 64.0
_RATE = 160.0
# Updates that may be queued. When many runners crash at once the oldest are
# discarded, except for those of requests with several crashes.
_QUEUE_LIMIT = 1024
# Updates per datagram, for about 1,200 bytes.
_UPDATES_PER_DATAGRAM = 40
# The most datagrams sent to an instance that asks for everything; the latest
# requests come first. They hold 400 crashes of 130 requests.
_MAX_PAGES = 10

_Update = messages.RunnerCrash | messages.Clearance


class _QueuedUpdate(msgspec.Struct):
    """An update, and how often it is still to be sent.

    Attributes:
        digest: The digest of the request.
        crash: The crash to report; None for a clearance.
        moment: When the runner crashed, or up to when the request is cleared.
        lifted: Whether an operator released the request.
        transmissions_left: How often it is still to be sent.
    """

    digest: ids.RequestDigest
    crash: crashes.Crash | None
    moment: float
    lifted: bool = False
    transmissions_left: int = _TRANSMISSIONS

    def to_message(self, now: float) -> _Update:
        if self.crash is None:
            age_ms = _to_ms(now - self.moment)
            return messages.Clearance(self.digest, age_ms, self.lifted)
        return _to_runner_crash(self.digest, self.crash, now)


class Outbox:
    """A rate-limited queue of updates for other instances."""

    def __init__(self, request_tracker: tracker.RequestTracker) -> None:
        """Creates an empty queue.

        Args:
            request_tracker: The crash histories of requests.
        """
        self._tracker = request_tracker
        self._urgent: collections.deque[_QueuedUpdate] = collections.deque(
            maxlen=_QUEUE_LIMIT
        )
        self._ordinary: collections.deque[_QueuedUpdate] = collections.deque(
            maxlen=_QUEUE_LIMIT
        )
        self._cleared: dict[ids.RequestDigest, _QueuedUpdate] = {}
        self._tokens = _BURST
        self._refilled_at = 0.0
        self._page_from = 0

    def add_crash(
        self, digest: ids.RequestDigest, crash: crashes.Crash
    ) -> None:
        """Queues a crash that this instance just learned of."""
        history = self._tracker.find(digest)
        high_risk = history is not None and history.is_high_risk
        queue = self._urgent if high_risk else self._ordinary
        queue.append(_QueuedUpdate(digest, crash, crash.crashed_at))

    def add_cleared(
        self, digest: ids.RequestDigest, at: float, lifted: bool
    ) -> None:
        """Queues the clearance of a request.

        Args:
            digest: The digest of the request.
            at: Monotonic seconds up to which its crashes no longer count.
            lifted: Whether only an operator released it.
        """
        queued = self._cleared.get(digest)
        if queued is not None and queued.transmissions_left:
            queued.moment = max(queued.moment, at)
            queued.lifted = queued.lifted and lifted
            return
        if len(self._cleared) >= _QUEUE_LIMIT:
            self._cleared.clear()  # Only repeats some clearances.
        self._cleared[digest] = _QueuedUpdate(digest, None, at, lifted)
        self._urgent.append(self._cleared[digest])

    def take(self, now: float) -> messages.Suspicions | None:
        """Returns the updates that the rate allows now, if there are any."""
        earned = (now - self._refilled_at) * _RATE
        self._tokens = min(_BURST, self._tokens + earned)
        self._refilled_at = now
        count = min(_UPDATES_PER_DATAGRAM, int(self._tokens))
        taken = [*self._take_newest(self._urgent, count)]
        taken += self._take_newest(self._ordinary, count - len(taken))
        self._tokens -= len(taken)
        return (
            _pack([each.to_message(now) for each in taken]) if taken else None
        )

    def list_all(self, now: float) -> list[messages.Suspicions]:
        """Returns all high-risk requests by datagram; an empty one if none."""
        high_risk = self._tracker.list_high_risk()[::-1]
        pages: list[messages.Suspicions] = []
        while high_risk and len(pages) < _MAX_PAGES:
            page = _cut_page(high_risk)
            pages.append(_pack_page(page, now))
            high_risk = high_risk[len(page) :]
        return pages or [messages.Suspicions("")]

    def take_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next page of the high-risk requests, in rotation."""
        high_risk = self._tracker.list_high_risk()
        if not high_risk:
            return None
        first = self._page_from % len(high_risk)
        page = _cut_page(high_risk[first:] + high_risk[:first])
        self._page_from = first + len(page)
        return _pack_page(page, now)

    def _take_newest(
        self, queue: collections.deque[_QueuedUpdate], count: int
    ) -> Iterator[_QueuedUpdate]:
        """Yields the newest updates of a queue.

        Those that are to be sent again go to its old end.
        """
        to_resend = []
        for _ in range(min(count, len(queue))):
            each = queue.pop()
            each.transmissions_left -= 1
            if each.transmissions_left:
                to_resend.append(each)
            yield each
        queue.extendleft(to_resend)


def _pack(updates: list[_Update]) -> messages.Suspicions:
    crashed = [
        each for each in updates if isinstance(each, messages.RunnerCrash)
    ]
    cleared = [each for each in updates if isinstance(each, messages.Clearance)]
    return messages.Suspicions("", tuple(crashed), tuple(cleared))


def _cut_page(
    histories: list[crashes.CrashHistory],
) -> list[crashes.CrashHistory]:
    """Returns the first requests whose crashes fit into one datagram."""
    count = 0
    for number, history in enumerate(histories):
        count += len(history.crashes)
        if count > _UPDATES_PER_DATAGRAM:
            return histories[:number]
    return histories


def _pack_page(
    page: list[crashes.CrashHistory], now: float
) -> messages.Suspicions:
    return messages.Suspicions(
        "",
        tuple(
            _to_runner_crash(history.digest, crash, now)
            for history in page
            for crash in history.crashes
        ),
        quarantined=tuple(
            history.digest
            for history in page
            if history.quarantined_at is not None
        ),
    )


def _to_runner_crash(
    digest: ids.RequestDigest, crash: crashes.Crash, now: float
) -> messages.RunnerCrash:
    return messages.RunnerCrash(
        digest,
        crash.runner_hash,
        _to_ms(now - crash.sent_at),
        _to_ms(now - crash.crashed_at),
        crash.sender,
        None
        if crash.connected_at is None
        else _to_ms(now - crash.connected_at),
    )


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))
