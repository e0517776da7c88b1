"""Retries, breaker and budget around scripted answers, on a manual clock."""

import collections
import random

import pytest
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.store import breaker
from pollenfork.store import budget
from pollenfork.store import edges
from pollenfork.store import errors
from pollenfork.store import policy

OK = result.Ok("answer")
NONE = result.Err(errors.Unavailable())
LOST = result.Err(errors.Unanswered())
RATE = result.Err(errors.Throttled(retry_after_s=0.5))
HOUR = result.Err(errors.Throttled(retry_after_s=3600.0))
CLASH = result.Err(errors.Conflicted(keys=("k",)))


class Bench:
    """A guard over scripted answers."""

    def __init__(self, share=None, limits=None):
        self.clock = clock.ManualClock()
        self.waits, self.events = [], collections.Counter()
        tools = policy.Tools(
            now=self.clock,
            rng=random.Random(7),
            wait=self.wait,
            count=lambda event: self.events.update([event]),
        )
        self.guard = policy.Guard("table", tools, share, limits)
        self.calls = 0

    def wait(self, seconds):
        self.waits.append(seconds)
        self.clock.advance(seconds)

    def run(self, *script, takes_s=0.0):
        answers = list(script)

        def call():
            self.calls += 1
            self.clock.advance(takes_s)
            return answers.pop(0) if len(answers) > 1 else answers[0]

        return self.guard.run(budget.CallKind.READ, call)


@pytest.mark.parametrize(
    ("script", "calls", "expected"),
    [
        ([OK], 1, OK),
        ([NONE, OK], 2, OK),
        ([LOST, LOST, LOST, OK], 4, OK),
        ([RATE, OK], 2, OK),
        ([CLASH], 1, CLASH),
        ([LOST, CLASH], 2, CLASH),
        ([NONE], 4, NONE),
        ([LOST], 4, LOST),
        ([HOUR, OK], 1, HOUR),
        # A refusal after a lost answer proves nothing about the lost one.
        ([LOST, NONE], 4, LOST),
        ([NONE, LOST, NONE], 4, LOST),
        ([LOST, HOUR], 2, LOST),
    ],
)
def test_retries(script, calls, expected):
    bench = Bench()
    assert bench.run(*script) == expected
    assert bench.calls == calls
    assert len(bench.waits) == calls - 1


def test_each_retry_reason_is_counted():
    bench = Bench()
    bench.run(NONE, LOST, RATE, OK)
    assert bench.events == {
        policy.CallEvent.RETRY_UNAVAILABLE: 1,
        policy.CallEvent.RETRY_UNANSWERED: 1,
        policy.CallEvent.RETRY_THROTTLED: 1,
    }


def test_pauses_grow_within_their_bound_and_differ():
    backoff = breaker.Backoff(random.Random(1), first_s=0.1, max_s=0.4)
    for retry, ceiling in enumerate([0.1, 0.2, 0.4, 0.4]):
        delays = [backoff.choose_delay(retry) for _ in range(200)]
        assert max(delays) <= ceiling
        assert max(delays) > 0.9 * ceiling
        assert min(delays) < 0.1 * ceiling


def test_no_attempt_starts_after_the_time_of_a_call():
    bench = Bench()
    assert bench.run(LOST, takes_s=2.0) == LOST
    assert bench.calls == 3


class LossyTable:
    """Loses the first answers; remembers write ids."""

    def __init__(self):
        self.seen = []

    def commit(self, transaction):
        self.seen.append(transaction)
        return LOST if len(self.seen) < 3 else result.Ok(edges.Committed((1,)))


def test_a_transaction_is_retried_under_the_same_write_id():
    bench, table = Bench(), LossyTable()
    guarded = policy.GuardedTable(table, bench.guard)
    sent = edges.Transaction(ids.WriteId("w"), (edges.Put("k", b"v", 0),))
    assert guarded.commit(sent).is_ok()
    assert table.seen == [sent] * 3


def test_the_breaker_opens_after_failures_in_a_row_and_sends_nothing():
    bench = Bench()
    bench.run(NONE)
    refused = bench.run(NONE)
    assert bench.calls == 5
    assert type(refused.unwrap_err()) is policy.BreakerOpen
    assert bench.run(OK).is_err()
    assert bench.calls == 5
    assert bench.events[policy.CallEvent.REFUSED_BREAKER_OPEN] == 2


def test_a_lost_answer_stays_in_doubt_when_the_breaker_opens():
    bench = Bench()
    bench.run(LOST)
    assert bench.run(LOST) == LOST
    assert bench.calls == 5


def open_breaker(bench):
    while bench.run(NONE, takes_s=0.0).is_err():
        if bench.events[policy.CallEvent.REFUSED_BREAKER_OPEN]:
            return


def test_one_probe_closes_the_breaker():
    bench = Bench()
    open_breaker(bench)
    bench.clock.advance(1.0)
    assert bench.run(OK) == OK
    assert bench.run(NONE, OK) == OK  # One failure doesn't open it again.


def test_pauses_of_the_breaker_double_up_to_their_bound():
    limits = breaker.BreakerLimits(failures=1, open_s=1.0, max_open_s=4.0)
    one = breaker.Breaker(random.Random(3), limits)
    now, pauses = 0.0, []
    for _ in range(6):
        era = one.admit(now)
        one.record(era, succeeded=False, now=now)
        opened = now
        while one.is_blocked(now):
            now += 0.01
        pauses.append(now - opened)
    for pause, longest in zip(pauses, [1, 2, 4, 4, 4, 4], strict=True):
        assert longest / 2 <= pause <= longest + 0.011


def test_only_one_probe_at_a_time():
    one = breaker.Breaker(random.Random(3), breaker.BreakerLimits(failures=1))
    one.record(one.admit(0.0), succeeded=False, now=0.0)
    assert one.admit(5.0) is not None
    assert one.state is breaker.BreakerState.HALF_OPEN
    assert one.admit(5.0) is None


def test_answers_from_before_the_breaker_opened_change_nothing():
    one = breaker.Breaker(random.Random(3), breaker.BreakerLimits(failures=1))
    late = one.admit(0.0)
    one.record(one.admit(0.0), succeeded=False, now=0.0)
    one.record(late, succeeded=True, now=0.1)
    assert one.state is breaker.BreakerState.OPEN


def test_a_call_that_raises_counts_as_a_failure():
    bench = Bench()
    for _ in range(5):
        with pytest.raises(ZeroDivisionError):
            bench.guard.run(budget.CallKind.READ, lambda: 1 // 0)
    assert bench.run(OK).is_err()


def test_conflicts_and_throttling_leave_the_breaker_closed():
    bench = Bench()
    for _ in range(20):
        bench.run(CLASH)
        bench.run(HOUR)
    assert bench.run(OK) == OK


def test_a_spent_budget_waits_for_its_token_or_refuses():
    share = budget.Budget(0.0, budget.Rates(reads=400.0, writes=1.0))
    bench = Bench(share)
    for _ in range(4):
        assert bench.run(OK) == OK
    assert bench.waits == []
    assert bench.run(OK) == OK  # One read a second: it waited.
    assert 0.5 < sum(bench.waits) < 2.0
    slow = Bench(budget.Budget(0.0, budget.Rates(reads=4.0, writes=1.0)))
    for _ in range(4):
        slow.run(OK)
    refused = slow.run(OK).unwrap_err()
    assert type(refused) is errors.Throttled
    assert refused.retry_after_s > 90
    assert slow.calls == 4


def test_an_open_breaker_spends_no_budget():
    share = budget.Budget(0.0)
    bench = Bench(share)
    share.set_instances(1, 0.0)
    open_breaker(bench)
    for _ in range(5000):
        bench.run(OK)
    assert share.take(budget.CallKind.READ, bench.clock.monotonic()) == 0.0


class Down:
    """Every service, down; counts its calls."""

    def __init__(self):
        self.calls = 0

    def _fail(self, *_):
        self.calls += 1
        return NONE

    read = scan = commit = fetch = store = remove = request_read = _fail


def test_services_share_the_budget_but_not_the_breaker():
    far = [Down() for _ in range(4)]
    bench = Bench()
    tools = policy.Tools(now=bench.clock, rng=random.Random(1), wait=bench.wait)
    platform = policy.Platform(
        table=far[0],
        objects=far[1],
        instances=far[2],
        weights=far[3],
        tools=tools,
    )
    platform.budget.set_instances(8, 0.0)
    calls = [
        lambda: platform.table.read("k"),
        lambda: platform.table.scan("k"),
        lambda: platform.table.commit(edges.Transaction(ids.WriteId("w"))),
        lambda: platform.objects.fetch("k"),
        lambda: platform.objects.store("k", b""),
        lambda: platform.objects.remove("k"),
        platform.instances.fetch,
        lambda: platform.weights.request_read(ids.ModelName("m"), "1"),
    ]
    assert all(call().is_err() for call in calls)
    # Five failures open a breaker; the weights are never retried.
    assert [one.calls for one in far] == [5, 5, 4, 1]
