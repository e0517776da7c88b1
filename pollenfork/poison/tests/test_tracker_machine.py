"""What instances believe of requests, over any order of what they are told."""

from hypothesis import stateful
from hypothesis import strategies

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import tracker

DIGESTS = strategies.sampled_from([ids.RequestDigest(n) for n in (1, 2)])
INSTANCES = strategies.integers(0, 2)


class Books(stateful.RuleBasedStateMachine):
    """Three books; ends and answers happen once and are told in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.books = [tracker.RequestTracker(lambda *_: True) for _ in range(3)]
        self.ends: dict[int, list[crashes.Crash]] = {1: [], 2: []}
        self.answers: dict[int, list[float]] = {1: [], 2: []}
        self.place = 0

    @stateful.rule(seconds=strategies.floats(0.3, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for each in self.books:
            each.sweep(self.now)

    @stateful.rule(
        digest=DIGESTS, at=INSTANCES, ran_s=strategies.floats(0.01, 9)
    )
    def end(self, digest, at, ran_s) -> None:
        self.now += 0.3
        self.place += 1
        end = crashes.Crash(self.place, self.now - ran_s, self.now, at)
        self.ends[digest].append(end)
        self.books[at].record_crash(digest, end, self.now)

    @stateful.rule(digest=DIGESTS, at=INSTANCES)
    def answer(self, digest, at) -> None:
        self.now += 0.3
        self.answers[digest].append(self.now)
        self.books[at].record_answer(digest, self.now)

    @stateful.rule(digest=DIGESTS, to=INSTANCES, which=strategies.integers(0))
    def tell_end(self, digest, to, which) -> None:
        if known := self.ends[digest]:
            end = known[which % len(known)]
            self.books[to].record_crash(digest, end, self.now)

    @stateful.rule(digest=DIGESTS, to=INSTANCES)
    def tell_answer(self, digest, to) -> None:
        if self.answers[digest]:
            self.books[to].clear(digest, self.answers[digest][-1], self.now)

    @stateful.rule(digest=DIGESTS)
    def tell_all(self, digest) -> None:
        """Then all instances think the same, and no answered one is kept."""
        for each in self.books:
            for end in self.ends[digest]:
                each.record_crash(digest, end, self.now)
            if self.answers[digest]:
                each.clear(digest, self.answers[digest][-1], self.now)
        kept = {
            each.evaluate(digest, self.now) is crashes.Verdict.QUARANTINED
            for each in self.books
        }
        last = max(self.answers[digest], default=0.0)
        since = [each for each in self.ends[digest] if each.crashed_at > last]
        if len(since) < crashes.CRASH_LIMIT:
            assert kept == {False}
        elif not last:
            # One after the other, or nothing but ends for long enough.
            lone = crashes.count_successive(since) > 1
            settled = self.now - since[2].crashed_at > crashes.CONCURRENT_WAIT_S
            if lone or settled:
                assert kept == {True}

    @stateful.invariant()
    def keeps_back_nothing_with_few_ends(self) -> None:
        for each in self.books:
            for case in each.list_quarantined():
                assert len(self.ends[case.digest]) >= crashes.CRASH_LIMIT
                assert len(case.crashes) >= crashes.CRASH_LIMIT

    @stateful.invariant()
    def forgets_no_answer(self) -> None:
        for each in self.books:
            for digest in self.ends:
                case = each.find(ids.RequestDigest(digest))
                if case is None or case.cleared_at is None:
                    continue
                assert all(
                    end.crashed_at > case.cleared_at for end in case.crashes
                )


TestBooks = Books.TestCase
