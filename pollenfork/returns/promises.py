"""The promised returns that are known here, of all instances."""

import collections
import heapq
import math

import msgspec

from pollenfork import ids

# A promise is kept for this long after it is due, in seconds.
_GRACE_S = 2.0
# A caller may return this much before it is due, in seconds: clocks and the
# propagation of promises are less exact than a caller's timer.
_MAX_EARLY_S = 0.05
# The maximum number of promises kept. At the maximum rate of promises, 600/s,
# about this many are due in the next 4.5 s or were in the last 2 s.
_MAX_PROMISES = 4096
# Promises of other instances that are due later than this, in seconds, or need
# more tokens than the longest prompts have, are invalid.
_MAX_DUE_S = 60.0
_MAX_TOKENS = 10_000_000
# The resolution at which expected tokens are summed up, in seconds.
_BUCKET_S = 0.05
_DIGEST_MASK = 0xFFFFFFFF


def shorten_digest(digest: ids.RequestDigest) -> int:
    """Returns the 32 bits of a digest that identify it between instances."""
    return digest & _DIGEST_MASK


class Kept(msgspec.Struct, frozen=True):
    """A promise is due, and its caller has returned.

    Attributes:
        late_s: Seconds since it was due; negative: until it is due.
    """

    late_s: float


class Early(msgspec.Struct, frozen=True):
    """A caller has returned before its promise is due.

    Attributes:
        left_s: Seconds until it is due.
    """

    left_s: float


class _Promise(msgspec.Struct, eq=False):
    due: float
    digest: int
    tokens: int
    tier: ids.Tier
    made_at: float
    open: bool = True


class PromiseTable:
    """Promises by digest, each of which is used up by one return.

    Requests with equal digests can't be told apart, so their promises are
    counted: each of them that returns when due uses up the one due first.
    """

    def __init__(self) -> None:
        self._by_digest: dict[int, list[_Promise]] = {}
        self._queue: list[tuple[float, int, _Promise]] = []
        self._added = 0
        self._size = 0
        # Prompt tokens by the time at which they are due: of the promises that
        # aren't used up, by tier, and of all.
        self._tokens: dict[ids.Tier, collections.Counter[int]] = {}
        self._all_tokens: collections.Counter[int] = collections.Counter()

    def __len__(self) -> int:
        """Returns the number of promises that aren't used up."""
        return self._size

    def add(
        self,
        digest: int,
        due: float,
        tokens: int,
        now: float,
        tier: ids.Tier = ids.Tier(0),
    ) -> bool:
        """Adds a promise.

        If the table is full, the promise due first makes room if it is overdue:
        most of those have been used at other instances, which don't tell.

        Args:
            digest: The shortened digest of the request.
            due: Monotonic seconds at which it is due.
            tokens: Prompt tokens that the request will need.
            now: Monotonic seconds.
            tier: The request's tier.

        Returns:
            Whether it was added; False: it is invalid, or the table is full.
        """
        if not math.isfinite(due) or due > now + _MAX_DUE_S:
            return False
        if due <= now - _GRACE_S or not 0 <= tokens <= _MAX_TOKENS:
            return False
        self._expire(now - _GRACE_S)
        if self._size >= _MAX_PROMISES and not self._evict_overdue(now):
            return False
        promise = _Promise(due, digest, tokens, tier, now)
        self._by_digest.setdefault(digest, []).append(promise)
        self._added += 1
        heapq.heappush(self._queue, (due, self._added, promise))
        self._size += 1
        of_tier = self._tokens.setdefault(tier, collections.Counter())
        of_tier[_find_bucket(due)] += tokens
        self._all_tokens[_find_bucket(due)] += tokens
        return True

    def claim(
        self, digest: int, arrived: float, now: float
    ) -> Kept | Early | None:
        """Uses up the promise of a request, if one is due.

        Args:
            digest: The shortened digest of the request.
            arrived: When the request arrived, in monotonic seconds. Promises
                that were made after that belong to other callers.
            now: Monotonic seconds.

        Returns:
            Whether its promise is due; None: there is no promise.
        """
        self._expire(now - _GRACE_S)
        told = [
            promise
            for promise in self._by_digest.get(digest, ())
            if promise.made_at < arrived
        ]
        if not told:
            return None
        first = min(told, key=lambda promise: promise.due)
        if now < first.due - _MAX_EARLY_S:
            return Early(first.due - now)
        self._remove(first)
        return Kept(now - first.due)

    def count_tokens(
        self, now: float, horizon_s: float, tier: ids.Tier | None = None
    ) -> int:
        """Returns the prompt tokens of the returns that are due soon.

        Args:
            now: Monotonic seconds.
            horizon_s: How far ahead to look, in seconds.
            tier: Less urgent returns than of this tier are left out; None:
                none are.
        """
        self._expire(now - _GRACE_S)
        if not self._size:
            return 0
        buckets = range(_find_bucket(now), _find_bucket(now + horizon_s) + 1)
        return sum(
            of_tier.get(each, 0)
            for urgency, of_tier in self._tokens.items()
            if tier is None or urgency <= tier
            for each in buckets
        )

    def count_returned(self, start: float, end: float) -> int:
        """Returns the prompt tokens of all returns that were due in a period.

        Args:
            start: Monotonic seconds, 2 s ago at most.
            end: Monotonic seconds.
        """
        buckets = range(_find_bucket(start), _find_bucket(end))
        return sum(self._all_tokens.get(each, 0) for each in buckets)

    def _expire(self, before: float) -> None:
        """Removes the promises that were due at a time or before."""
        while self._queue and self._queue[0][0] <= before:
            self._remove(self._pop())

    def _evict_overdue(self, now: float) -> bool:
        """Removes the overdue promise due first; returns if there was one."""
        while self._queue and self._queue[0][0] < now:
            promise = self._pop()
            if promise.open:
                self._remove(promise)
                return True
        return False

    def _pop(self) -> _Promise:
        """Returns the promise due first and forgets that it was made."""
        promise = heapq.heappop(self._queue)[2]
        _subtract(self._all_tokens, promise)
        return promise

    def _remove(self, promise: _Promise) -> None:
        if not promise.open:
            return  # Its caller has returned.
        promise.open = False
        self._size -= 1
        same = self._by_digest[promise.digest]
        same.remove(promise)
        if not same:
            del self._by_digest[promise.digest]
        of_tier = self._tokens[promise.tier]
        _subtract(of_tier, promise)
        if not of_tier:
            del self._tokens[promise.tier]


def _subtract(tokens: collections.Counter[int], promise: _Promise) -> None:
    bucket = _find_bucket(promise.due)
    tokens[bucket] -= promise.tokens
    if tokens[bucket] <= 0:
        del tokens[bucket]


def _find_bucket(moment: float) -> int:
    return int(moment // _BUCKET_S)
