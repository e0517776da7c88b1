"""What other instances are told of requests and of ends under them."""

import collections
from collections.abc import Iterator

import msgspec

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.poison import book
from pollenfork.poison import cases

# How often a piece of news is passed on, each time to three instances.
_ROUNDS = 3
# Pieces that may be told at once, and more in a second: an end takes some 27
# bytes, so this is 13 KB/s with three listeners. A runner's end speaks against
# as many requests as it has slots, 64 at most.
_BURST = 64.0
_RATE = 160.0
# Pieces that wait; when many runners end at once the oldest go, but for those
# of requests with several ends.
_WAITING_LIMIT = 1024
# Pieces in one datagram, for about 1,200 bytes.
_EACH = 40
# Datagrams in which an instance that asks is told all, at most; the latest
# cases go first. 400 ends of 130 requests.
_PAGES = 10

_Piece = messages.RunnerCrash | messages.Clearance


class _Waiting(msgspec.Struct):
    """A piece of news, and how often it is still to be told."""

    digest: ids.RequestDigest
    end: cases.End | None
    moment: float
    lifted: bool = False
    rounds_left: int = _ROUNDS

    def write(self, now: float) -> _Piece:
        if self.end is None:
            age_ms = _to_ms(now - self.moment)
            return messages.Clearance(self.digest, age_ms, self.lifted)
        return _write_end(self.digest, self.end, now)


class Outbox:
    """Keeps news until it is told, within a rate."""

    def __init__(self, known: book.Book) -> None:
        """Starts with nothing to tell.

        Args:
            known: What is known of requests.
        """
        self._known = known
        self._urgent: collections.deque[_Waiting] = collections.deque(
            maxlen=_WAITING_LIMIT
        )
        self._ordinary: collections.deque[_Waiting] = collections.deque(
            maxlen=_WAITING_LIMIT
        )
        self._cleared: dict[ids.RequestDigest, _Waiting] = {}
        self._allowed = _BURST
        self._filled_at = 0.0
        self._page_from = 0

    def add_end(self, digest: ids.RequestDigest, end: cases.End) -> None:
        """Takes an end that is news here."""
        case = self._known.find(digest)
        serious = case is not None and case.is_serious
        waiting = self._urgent if serious else self._ordinary
        waiting.append(_Waiting(digest, end, end.ended_at))

    def add_cleared(
        self, digest: ids.RequestDigest, at: float, lifted: bool
    ) -> None:
        """Takes up to when nothing speaks against a request.

        Args:
            digest: The request's.
            at: Monotonic seconds.
            lifted: Whether it is an operator's word alone.
        """
        known = self._cleared.get(digest)
        if known is not None and known.rounds_left:
            known.moment = max(known.moment, at)
            known.lifted = known.lifted and lifted
            return
        if len(self._cleared) >= _WAITING_LIMIT:
            self._cleared.clear()  # Told again when it is asked for again.
        self._cleared[digest] = _Waiting(digest, None, at, lifted)
        self._urgent.append(self._cleared[digest])

    def take(self, now: float) -> messages.Suspicions | None:
        """Returns what to tell now, within the rate; None: nothing."""
        earned = (now - self._filled_at) * _RATE
        self._allowed = min(_BURST, self._allowed + earned)
        self._filled_at = now
        count = min(_EACH, int(self._allowed))
        chosen = [*self._choose(self._urgent, count)]
        chosen += self._choose(self._ordinary, count - len(chosen))
        self._allowed -= len(chosen)
        return _pack([each.write(now) for each in chosen]) if chosen else None

    def list_all(self, now: float) -> list[messages.Suspicions]:
        """Returns what speaks against requests; one is empty if nothing."""
        serious = self._known.list_serious()[::-1]
        pages: list[messages.Suspicions] = []
        while serious and len(pages) < _PAGES:
            page = _cut_page(serious)
            pages.append(_write_page(page, now))
            serious = serious[len(page) :]
        return pages or [messages.Suspicions("")]

    def take_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next few of what speaks against requests, by turns."""
        serious = self._known.list_serious()
        if not serious:
            return None
        first = self._page_from % len(serious)
        page = _cut_page(serious[first:] + serious[:first])
        self._page_from = first + len(page)
        return _write_page(page, now)

    def _choose(
        self, waiting: collections.deque[_Waiting], count: int
    ) -> Iterator[_Waiting]:
        """Yields the latest that wait; the others follow."""
        again = []
        for _ in range(min(count, len(waiting))):
            each = waiting.pop()
            each.rounds_left -= 1
            if each.rounds_left:
                again.append(each)
            yield each
        waiting.extendleft(again)


def _pack(pieces: list[_Piece]) -> messages.Suspicions:
    ends = [each for each in pieces if isinstance(each, messages.RunnerCrash)]
    cleared = [each for each in pieces if isinstance(each, messages.Clearance)]
    return messages.Suspicions("", tuple(ends), tuple(cleared))


def _cut_page(known: list[cases.Case]) -> list[cases.Case]:
    """Returns the first cases whose ends go into one datagram."""
    count = 0
    for number, case in enumerate(known):
        count += len(case.ends)
        if count > _EACH:
            return known[:number]
    return known


def _write_page(page: list[cases.Case], now: float) -> messages.Suspicions:
    return messages.Suspicions(
        "",
        tuple(
            _write_end(case.digest, end, now)
            for case in page
            for end in case.ends
        ),
        quarantined=tuple(
            case.digest for case in page if case.kept_since is not None
        ),
    )


def _write_end(
    digest: ids.RequestDigest, end: cases.End, now: float
) -> messages.RunnerCrash:
    return messages.RunnerCrash(
        digest,
        end.place,
        _to_ms(now - end.sent_at),
        _to_ms(now - end.ended_at),
        end.witness,
        None if end.made_at is None else _to_ms(now - end.made_at),
    )


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))
