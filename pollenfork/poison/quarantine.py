"""Quarantines requests that crash the runners they run on, at all instances.

Without it, one such request crashed 48 runners in 10 s, with three instances
and four runners, and a fifth of all other requests was served. Three crashes
are needed to tell the cause from requests in flight beside it; instances
exchange the crashes that they observe.
"""

from collections.abc import Callable
import logging

from pollenfork import ids
from pollenfork.fleet import evidence
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.loads import messages
from pollenfork.poison import crashes
from pollenfork.poison import detector
from pollenfork.poison import outbox
from pollenfork.poison import tracker
from pollenfork.poison import trials

_LOG = logging.getLogger(__name__)

Verdict = crashes.Verdict


class Quarantine:
    """One instance's view of poison requests, shared with other instances.

    Attributes:
        tracker: The crash histories of requests.
        trials: This instance's claims of trials.
    """

    def __init__(
        self,
        runners: registry.Registry,
        host: str,
        is_alive_since: Callable[[ids.EndpointId, float], bool],
        read_time: Callable[[], float],
    ) -> None:
        """Creates a quarantine without any history.

        Args:
            runners: The runners of all services.
            host: The host of this instance.
            is_alive_since: Returns whether a runner has shown this instance
                since a given time that it is alive.
            read_time: Returns monotonic seconds.
        """
        self._read_time = read_time
        self._peer_count = 0
        self._host_hash = messages.hash_name(host.encode())
        self._detector = detector.CrashDetector(
            runners,
            self._host_hash,
            is_alive_since,
            self._record_crash,
            lambda: self._peer_count,
        )
        self.tracker = tracker.RequestTracker(self._detector.is_credible)
        self.trials = trials.Trials()
        self._outbox = outbox.Outbox(self.tracker)
        self._on_urgent: list[Callable[[], None]] = []
        self.tracker.when_cleared(
            lambda history, now: self._outbox.add_cleared(
                history.digest, history.cleared_at or now, not history.answered
            )
        )
        runners.when_gone(
            lambda gone: self._detector.record_removed(gone, read_time())
        )

    def when_urgent(self, call: Callable[[], None]) -> None:
        """Calls `call` when updates should be sent to others at once."""
        self._on_urgent.append(call)

    def when_probe_needed(self, call: Callable[[model.Runner], object]) -> None:
        """Calls `call` with each runner to be tested by a new connection."""
        self._detector.when_probe_needed(call)

    def evaluate(self, digest: ids.RequestDigest, now: float) -> Verdict:
        """Returns how a request may be dispatched."""
        verdict = self.tracker.evaluate(digest, now)
        if verdict is Verdict.QUARANTINED:
            return verdict
        possible = self._list_unconfirmed(digest, now)
        if possible and self.tracker.would_quarantine(digest, possible, now):
            return Verdict.UNCONFIRMED
        return verdict

    def list_possible_crashes(
        self, digest: ids.RequestDigest, now: float
    ) -> set[int]:
        """Returns the hashes of runners that a request may have crashed.

        Args:
            digest: The digest of the request.
            now: Monotonic seconds.
        """
        history = self.tracker.find(digest)
        recorded = [] if history is None else history.crashes
        unconfirmed = self._list_unconfirmed(digest, now)
        return {each.runner_hash for each in [*recorded, *unconfirmed]}

    def record_answer(self, digest: ids.RequestDigest, now: float) -> None:
        """Records that a runner has answered a request."""
        self.tracker.record_answer(digest, now)

    def record_broken_connection(
        self,
        digest: ids.RequestDigest,
        runner: model.Runner,
        sent_at: float,
        now: float,
        connected_at: float | None = None,
    ) -> None:
        """Records that the connection broke on which a request was sent."""
        self._detector.record_broken_connection(
            digest, runner, sent_at, now, connected_at
        )

    def record_absence(self, runner_hash: int, local: bool) -> None:
        """Records that a runner no longer listens at its address.

        Args:
            runner_hash: A hash of the runner's incarnation and its address.
            local: Whether this instance observed that; otherwise another one
                reported it.
        """
        now = self._read_time()
        if local:
            self._detector.record_ended(runner_hash, now, "nobody_there")
        else:
            self._detector.record_reported_end(runner_hash, now)

    def record_dropped_connection(
        self, runner: model.Runner, now: float
    ) -> None:
        """Records that a new connection to a runner was dropped at once."""
        self._detector.record_ended(
            evidence.hash_runner(runner), now, "dropped"
        )

    def list_quarantined(self) -> list[crashes.CrashHistory]:
        """Returns the requests that are quarantined."""
        return self.tracker.list_quarantined()

    def saw_crash(self, history: crashes.CrashHistory) -> bool:
        """Returns whether this instance saw a runner crash under a request."""
        return any(each.sender == self._host_hash for each in history.crashes)

    def lift(self, digest: ids.RequestDigest) -> bool:
        """Releases a request at all instances.

        Returns:
            Whether any crash was recorded under it.
        """
        history = self.tracker.find(digest)
        if history is None or not history.crashes:
            return False
        now = self._read_time()
        _LOG.warning("event=request_lifted digest=%016x", digest)
        return self.tracker.clear(digest, now, now, answered=False)

    def take_trial(
        self, digest: ids.RequestDigest, now: float, *, is_part: bool = False
    ) -> int | None:
        """Returns the number of a quarantined request's trial to claim.

        Args:
            digest: The digest of the request, or of a part of its prompt.
            now: Monotonic seconds.
            is_part: Whether it is that of a part.
        """
        history = self.tracker.find(digest)
        if history is None:
            return None
        return self.trials.take_due(
            history,
            now,
            lambda: self._count_unrelated_crashes(history),
            is_part=is_part,
        )

    def sweep(self, now: float) -> None:
        """Forgets old records, and evaluates requests anew."""
        self._detector.sweep(now)
        self.tracker.sweep(now)
        self.trials.retain({each.digest for each in self.list_quarantined()})

    # Exchange with other instances.

    def take_updates(self, now: float) -> messages.Suspicions | None:
        """Returns the updates to send now, if any."""
        return self._outbox.take(now)

    def take_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next page of all high-risk requests, if any."""
        return self._outbox.take_page(now)

    def list_all(self, now: float) -> list[messages.Suspicions]:
        """Returns all high-risk requests, by datagram."""
        return self._outbox.list_all(now)

    def set_peer_count(self, count: int) -> None:
        """Sets how many other instances there are."""
        self._peer_count = count

    def receive_suspicions(
        self, received: messages.Suspicions, host: str, now: float
    ) -> None:
        """Records crashes and clearances from another instance.

        Args:
            received: The message.
            host: The host of the other instance.
            now: Monotonic seconds.
        """
        for clearance in received.cleared:
            digest = ids.RequestDigest(clearance.digest)
            at = now - clearance.age_ms / 1000.0
            self.tracker.clear(digest, at, now, answered=not clearance.lifted)
        for each in received.crashes:
            digest = ids.RequestDigest(each.digest)
            crash = crashes.Crash(
                each.runner_hash,
                now - each.sent_ms / 1000.0,
                now - each.ended_ms / 1000.0,
                each.sender,
                None if each.made_ms is None else now - each.made_ms / 1000.0,
            )
            if self.tracker.record_crash(digest, crash, now):
                self._outbox.add_crash(digest, crash)
                self._detector.probe(crash.runner_hash)
            if each.sender == messages.hash_name(host.encode()):
                self.tracker.record_reporter(digest, host)
        for quarantined in received.quarantined:
            self.tracker.record_confirmation(
                ids.RequestDigest(quarantined), host
            )

    def _list_unconfirmed(
        self, digest: ids.RequestDigest, now: float
    ) -> list[crashes.Crash]:
        """Returns a request's crashes that are neither proven nor disproven."""
        possible = self._detector.list_possible_crashes(digest, now)
        history = self.tracker.find(digest)
        if history is None:
            return possible
        return possible + self._detector.list_unconfirmed(history, now)

    def _count_unrelated_crashes(self, history: crashes.CrashHistory) -> int:
        """Returns how many runners have crashed without a request."""
        crashed = self._detector.list_crashed(history.crashes[0].crashed_at)
        return self.tracker.count_unrelated_crashes(history, crashed)

    def _record_crash(
        self, digest: ids.RequestDigest, crash: crashes.Crash, now: float
    ) -> None:
        if not self.tracker.record_crash(digest, crash, now):
            return
        self._outbox.add_crash(digest, crash)
        for notify in self._on_urgent:
            notify()
