"""Tracks which requests crashed runners, and which were answered lately."""

import collections
from collections.abc import Callable
import logging

from pollenfork import ids
from pollenfork.poison import crashes

_LOG = logging.getLogger(__name__)

Verdict = crashes.Verdict

# The most requests with crash histories, about 0.8 KB each. The oldest with one
# crash is forgotten first: a request that crashes runners comes again, and its
# crashes are recorded anew. If all have more crashes, the oldest is forgotten.
_HISTORIES_LIMIT = 2048
# The most instances remembered that quarantine a request too, or that reported
# its crashes; checks need two of them.
_HOSTS_LIMIT = 4
# The latest requests answered here, about 120 bytes each: half a minute's worth
# at the busiest instance. A forgotten request that is in flight wherever
# runners crash is quarantined after two successive crashes instead of three.
_ANSWERED_LIMIT = 4096


class RequestTracker:
    """Evaluates requests by what this instance and others have observed."""

    def __init__(
        self,
        is_credible: Callable[
            [crashes.Crash, crashes.CrashHistory, float], bool
        ],
    ) -> None:
        """Creates a tracker without any history.

        Args:
            is_credible: Returns whether a reported crash may be genuine, by the
                crash, the request's history, and the time.
        """
        self._is_credible = is_credible
        self._histories: collections.OrderedDict[
            ids.RequestDigest, crashes.CrashHistory
        ] = collections.OrderedDict()
        self._answered: collections.OrderedDict[ids.RequestDigest, float] = (
            collections.OrderedDict()
        )
        # A cache, rebuilt on demand after crashes were added or removed.
        self._by_runner: (
            dict[int, list[tuple[crashes.CrashHistory, crashes.Crash]]] | None
        ) = None
        self._on_quarantined: list[
            Callable[[crashes.CrashHistory, float], None]
        ] = []
        self._on_cleared: list[
            Callable[[crashes.CrashHistory, float], None]
        ] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def when_quarantined(
        self, call: Callable[[crashes.CrashHistory, float], None]
    ) -> None:
        """Calls `call` with each request that is quarantined from now on."""
        self._on_quarantined.append(call)

    def when_cleared(
        self, call: Callable[[crashes.CrashHistory, float], None]
    ) -> None:
        """Calls `call` with each clearance that others should learn of."""
        self._on_cleared.append(call)

    def evaluate(self, digest: ids.RequestDigest, now: float) -> Verdict:
        """Returns how a request may be dispatched.

        Args:
            digest: The digest of the request.
            now: Monotonic seconds.
        """
        history = self._histories.get(digest)
        if history is None:
            return Verdict.CLEAR
        if history.quarantined_at is not None:
            return Verdict.QUARANTINED
        verdict = history.evaluate(self._list_counted(history, now), now)
        if verdict is Verdict.QUARANTINED:
            self.quarantine(history, now)
        return verdict

    def quarantine(self, history: crashes.CrashHistory, now: float) -> None:
        """Quarantines a request from now on."""
        history.quarantined_at = now
        self.counts["kept_back"] += 1
        _LOG.warning(
            "event=request_kept_back digest=%016x ends=%d rounds=%d places=%s "
            "first_ms=%d last_ms=%d answered=%s",
            history.digest,
            len(history.crashes),
            crashes.count_successive(history.crashes),
            ",".join(f"{each.runner_hash:08x}" for each in history.crashes),
            (now - history.crashes[0].crashed_at) * 1000
            if history.crashes
            else 0,
            (now - history.crashes[-1].crashed_at) * 1000
            if history.crashes
            else 0,
            history.cleared_at is not None,
        )
        for call in self._on_quarantined:
            call(history, now)

    def record_crash(
        self, digest: ids.RequestDigest, crash: crashes.Crash, now: float
    ) -> bool:
        """Records a crash under a request; returns whether it was new."""
        if not now - crashes.EXPIRY_S <= crash.crashed_at <= now:
            return False
        history = self._find_or_add(digest, now)
        answered_at = self._answered.get(digest)
        newly_cleared = answered_at is not None and history.clear(
            answered_at, now
        )
        history.answered = history.answered or answered_at is not None
        if newly_cleared or history.is_before_clearance(crash):
            # The reporting instance may not know of the answer.
            self._notify_cleared(history, now)
        if not history.add(crash, now):
            return False
        self._by_runner = None
        self.counts["ends"] += 1
        self.evaluate(digest, now)
        self._enforce_limit()
        return True

    def record_answer(self, digest: ids.RequestDigest, now: float) -> None:
        """Records that a runner has answered a request."""
        self._answered[digest] = now
        self._answered.move_to_end(digest)
        if len(self._answered) > _ANSWERED_LIMIT:
            self._answered.popitem(last=False)
        history = self._histories.get(digest)
        if history is not None and history.crashes:
            self.clear(digest, now, now)

    def clear(
        self,
        digest: ids.RequestDigest,
        at: float,
        now: float,
        answered: bool = True,
    ) -> bool:
        """Discards the crashes up to `at`; returns whether that was new.

        Args:
            digest: The digest of the request.
            at: Monotonic seconds up to which crashes no longer count.
            now: Monotonic seconds.
            answered: Whether a runner answered it; otherwise an operator
                released it.
        """
        history = self._find_or_add(digest, now)
        history.answered = history.answered or answered
        quarantined_at = history.quarantined_at
        if not history.clear(at, now):
            return False
        self._by_runner = None
        if quarantined_at is not None and history.quarantined_at is None:
            _LOG.warning(
                "event=request_cleared digest=%016x kept_ms=%d age_ms=%d",
                digest,
                (now - quarantined_at) * 1000,
                (now - at) * 1000,
            )
        self._notify_cleared(history, now)
        return True

    def restore(self, stored: crashes.CrashHistory, now: float) -> None:
        """Quarantines a request that was quarantined before this start.

        Args:
            stored: Its history as read from the store.
            now: Monotonic seconds.
        """
        history = self._find_or_add(stored.digest, now)
        if history.cleared_at is not None or history.quarantined_at is not None:
            return
        history.cleared_at = stored.cleared_at
        history.answered = stored.answered
        for crash in stored.crashes:
            history.add(crash, now)
        self._by_runner = None
        self.quarantine(history, now)
        self._enforce_limit()

    def record_reporter(self, digest: ids.RequestDigest, host: str) -> None:
        """Records that an instance reported a crash that it observed itself."""
        history = self._histories.get(digest)
        if history is not None and len(history.reporting_hosts) < _HOSTS_LIMIT:
            history.reporting_hosts.add(host)

    def record_confirmation(self, digest: ids.RequestDigest, host: str) -> None:
        """Records that another instance quarantines a request itself."""
        history = self._histories.get(digest)
        if history is not None and len(history.confirming_hosts) < _HOSTS_LIMIT:
            history.confirming_hosts.add(host)

    def would_quarantine(
        self, digest: ids.RequestDigest, more: list[crashes.Crash], now: float
    ) -> bool:
        """Returns whether further crashes would get a request quarantined.

        Args:
            digest: The digest of the request.
            more: The crashes, assumed to be genuine.
            now: Monotonic seconds.
        """
        current = self._histories.get(digest, crashes.CrashHistory(digest))
        assumed = crashes.CrashHistory(
            digest,
            cleared_at=current.cleared_at or self._answered.get(digest),
            answered=current.answered,
        )
        for crash in (*self._list_credible(current, now), *more):
            assumed.add(crash, now)
        counted = assumed.crashes
        if assumed.cleared_at is not None:
            counted = self._exclude_explained(current, counted)
        return assumed.evaluate(counted, now) is Verdict.QUARANTINED

    def count_unrelated_crashes(
        self, history: crashes.CrashHistory, crashed: list[int]
    ) -> int:
        """Returns how many crashed runners no poison request explains.

        Args:
            history: A request, whose own crashes don't count either.
            crashed: The hashes of runners that have crashed.
        """
        own = {each.runner_hash for each in history.crashes}
        by_runner = self._index_by_runner()
        return sum(
            runner_hash not in own
            and not any(
                other.is_blamed for other, _ in by_runner.get(runner_hash, ())
            )
            for runner_hash in crashed
        )

    @property
    def answered_count(self) -> int:
        """How many of the latest requests and parts answered are known."""
        return len(self._answered)

    def find(self, digest: ids.RequestDigest) -> crashes.CrashHistory | None:
        """Returns a request's history; None if nothing is known of it."""
        return self._histories.get(digest)

    def list_quarantined(self) -> list[crashes.CrashHistory]:
        """Returns the requests that are quarantined."""
        return [
            history
            for history in self._histories.values()
            if history.quarantined_at is not None
        ]

    def list_high_risk(self) -> list[crashes.CrashHistory]:
        """Returns quarantined requests, and those one crash away from it."""
        return [
            history
            for history in self._histories.values()
            if history.is_high_risk
        ]

    def sweep(self, now: float) -> None:
        """Forgets expired crashes, and evaluates requests anew."""
        for digest, history in list(self._histories.items()):
            if history.quarantined_at is None:
                if now - history.updated_at > crashes.EXPIRY_S:
                    self._drop(digest)
                elif len(history.crashes) >= crashes.CRASH_LIMIT:
                    self.evaluate(digest, now)
            elif history.cleared_at is not None:
                self._reevaluate(history, now)

    def _find_or_add(
        self, digest: ids.RequestDigest, now: float
    ) -> crashes.CrashHistory:
        history = self._histories.get(digest)
        if history is None:
            history = self._histories[digest] = crashes.CrashHistory(
                digest, updated_at=now
            )
        return history

    def _reevaluate(self, history: crashes.CrashHistory, now: float) -> None:
        """Releases a request if later reports blame others for its crashes."""
        counted = self._exclude_explained(history, history.crashes)
        if history.evaluate(counted, now) is Verdict.QUARANTINED:
            return
        _LOG.warning(
            "event=request_explained digest=%016x kept_ms=%d ends=%d "
            "counted=%d",
            history.digest,
            (now - (history.quarantined_at or now)) * 1000,
            len(history.crashes),
            len(counted),
        )
        history.quarantined_at = None
        history.updated_at = now
        self._notify_cleared(history, now)

    def _list_counted(
        self, history: crashes.CrashHistory, now: float
    ) -> list[crashes.Crash]:
        """Returns the crashes that count against a request."""
        credible = self._list_credible(history, now)
        # Too few for a quarantine, whether or not others explain them.
        if history.cleared_at is None or len(credible) < crashes.CRASH_LIMIT:
            return credible
        return self._exclude_explained(history, credible)

    def _exclude_explained(
        self, history: crashes.CrashHistory, candidates: list[crashes.Crash]
    ) -> list[crashes.Crash]:
        """Returns the crashes that no other request explains.

        A popular request is in flight wherever a runner crashes, and is sent to
        runners that have just crashed. It was answered before; a request that
        was never answered and crashed several runners in succession is the more
        likely cause.
        """
        by_runner = self._index_by_runner()
        return [
            each
            for each in candidates
            if not any(
                _explains(other, earlier, each)
                for other, earlier in by_runner.get(each.runner_hash, ())
                if other is not history
            )
        ]

    def _index_by_runner(
        self,
    ) -> dict[int, list[tuple[crashes.CrashHistory, crashes.Crash]]]:
        """Returns all known crashes by the hash of the runner."""
        if self._by_runner is None:
            self._by_runner = {}
            for history in self._histories.values():
                for crash in history.crashes:
                    entries = self._by_runner.setdefault(crash.runner_hash, [])
                    entries.append((history, crash))
        return self._by_runner

    def _list_credible(
        self, history: crashes.CrashHistory, now: float
    ) -> list[crashes.Crash]:
        """Returns the crashes that may be genuine.

        They are checked only where they suffice for a quarantine.
        """
        if len(history.crashes) < crashes.CRASH_LIMIT:
            return history.crashes
        return [
            each
            for each in history.crashes
            if self._is_credible(each, history, now)
        ]

    def _notify_cleared(
        self, history: crashes.CrashHistory, now: float
    ) -> None:
        for call in self._on_cleared:
            call(history, now)

    def _enforce_limit(self) -> None:
        if len(self._histories) <= _HISTORIES_LIMIT:
            return
        low_risk = (
            digest
            for digest, history in self._histories.items()
            if not history.is_high_risk
        )
        self._drop(next(low_risk, next(iter(self._histories))))

    def _drop(self, digest: ids.RequestDigest) -> None:
        del self._histories[digest]
        self._by_runner = None


def _explains(
    other: crashes.CrashHistory, earlier: crashes.Crash, crash: crashes.Crash
) -> bool:
    """Returns whether another request accounts for a crash.

    Args:
        other: The other request.
        earlier: Its crash of the same runner.
        crash: The crash to be explained.
    """
    if crash.is_explained_by(earlier):
        return True
    is_likely_cause = other.cleared_at is None and other.has_successive_crashes
    return is_likely_cause and crash.coincides_with(earlier)
