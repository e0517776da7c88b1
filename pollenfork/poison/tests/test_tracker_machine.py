"""Instances agree on requests, in whatever order they receive reports."""

from hypothesis import stateful
from hypothesis import strategies

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import tracker

DIGESTS = strategies.sampled_from([ids.RequestDigest(n) for n in (1, 2)])
INSTANCES = strategies.integers(0, 2)


class Trackers(stateful.RuleBasedStateMachine):
    """Three trackers that receive the same crashes and answers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.trackers = [
            tracker.RequestTracker(lambda *_: True) for _ in range(3)
        ]
        self.crashes: dict[int, list[crashes.Crash]] = {1: [], 2: []}
        self.answers: dict[int, list[float]] = {1: [], 2: []}
        self.runner_hash = 0

    @stateful.rule(seconds=strategies.floats(0.3, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for each in self.trackers:
            each.sweep(self.now)

    @stateful.rule(
        digest=DIGESTS, at=INSTANCES, ran_s=strategies.floats(0.01, 9)
    )
    def crash(self, digest, at, ran_s) -> None:
        self.now += 0.3
        self.runner_hash += 1
        crash = crashes.Crash(self.runner_hash, self.now - ran_s, self.now, at)
        self.crashes[digest].append(crash)
        self.trackers[at].record_crash(digest, crash, self.now)

    @stateful.rule(digest=DIGESTS, at=INSTANCES)
    def answer(self, digest, at) -> None:
        self.now += 0.3
        self.answers[digest].append(self.now)
        self.trackers[at].record_answer(digest, self.now)

    @stateful.rule(digest=DIGESTS, to=INSTANCES, which=strategies.integers(0))
    def report_crash(self, digest, to, which) -> None:
        if known := self.crashes[digest]:
            crash = known[which % len(known)]
            self.trackers[to].record_crash(digest, crash, self.now)

    @stateful.rule(digest=DIGESTS, to=INSTANCES)
    def report_answer(self, digest, to) -> None:
        if self.answers[digest]:
            self.trackers[to].clear(digest, self.answers[digest][-1], self.now)

    @stateful.rule(digest=DIGESTS)
    def report_all(self, digest) -> None:
        """Reports everything to all trackers, which must then agree."""
        for each in self.trackers:
            for crash in self.crashes[digest]:
                each.record_crash(digest, crash, self.now)
            if self.answers[digest]:
                each.clear(digest, self.answers[digest][-1], self.now)
        quarantined = {
            each.evaluate(digest, self.now) is crashes.Verdict.QUARANTINED
            for each in self.trackers
        }
        last = max(self.answers[digest], default=0.0)
        since = [
            each for each in self.crashes[digest] if each.crashed_at > last
        ]
        if len(since) < crashes.CRASH_LIMIT:
            assert quarantined == {False}
        elif not last:
            # Successive crashes, or nothing but crashes for long enough.
            successive = crashes.count_successive(since) > 1
            waited = self.now - since[2].crashed_at > crashes.CONCURRENT_WAIT_S
            if successive or waited:
                assert quarantined == {True}

    @stateful.invariant()
    def quarantines_nothing_with_few_crashes(self) -> None:
        for each in self.trackers:
            for history in each.list_quarantined():
                assert len(self.crashes[history.digest]) >= crashes.CRASH_LIMIT
                assert len(history.crashes) >= crashes.CRASH_LIMIT

    @stateful.invariant()
    def keeps_no_crash_before_an_answer(self) -> None:
        for each in self.trackers:
            for digest in self.crashes:
                history = each.find(ids.RequestDigest(digest))
                if history is None or history.cleared_at is None:
                    continue
                assert all(
                    crash.crashed_at > history.cleared_at
                    for crash in history.crashes
                )


TestTrackers = Trackers.TestCase
