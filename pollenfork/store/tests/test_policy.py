"""Retries, circuit breaker and budget, with scripted results and clock."""

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
UNAVAILABLE = result.Err(errors.Unavailable())
UNANSWERED = result.Err(errors.Unanswered())
THROTTLED = result.Err(errors.Throttled(retry_after_s=0.5))
THROTTLED_FOR_AN_HOUR = result.Err(errors.Throttled(retry_after_s=3600.0))
CONFLICT = result.Err(errors.Conflicted(keys=("k",)))


class PolicyHarness:
    """A call policy whose calls return scripted results."""

    def __init__(self, share=None, limits=None):
        self.clock = clock.ManualClock()
        self.waits, self.events = [], collections.Counter()
        deps = policy.Dependencies(
            now=self.clock,
            rng=random.Random(7),
            wait=self.wait,
            count=lambda event: self.events.update([event]),
        )
        self.policy = policy.CallPolicy("table", deps, share, limits)
        self.calls = 0

    def wait(self, seconds):
        self.waits.append(seconds)
        self.clock.advance(seconds)

    def run(self, *script, takes_s=0.0):
        results = list(script)

        def call():
            self.calls += 1
            self.clock.advance(takes_s)
            return results.pop(0) if len(results) > 1 else results[0]

        return self.policy.run(budget.CallKind.READ, call)


@pytest.mark.parametrize(
    ("script", "calls", "expected"),
    [
        ([OK], 1, OK),
        ([UNAVAILABLE, OK], 2, OK),
        ([UNANSWERED, UNANSWERED, UNANSWERED, OK], 4, OK),
        ([THROTTLED, OK], 2, OK),
        ([CONFLICT], 1, CONFLICT),
        ([UNANSWERED, CONFLICT], 2, CONFLICT),
        ([UNAVAILABLE], 4, UNAVAILABLE),
        ([UNANSWERED], 4, UNANSWERED),
        ([THROTTLED_FOR_AN_HOUR, OK], 1, THROTTLED_FOR_AN_HOUR),
        # A refusal doesn't prove that an earlier unanswered attempt failed.
        ([UNANSWERED, UNAVAILABLE], 4, UNANSWERED),
        ([UNAVAILABLE, UNANSWERED, UNAVAILABLE], 4, UNANSWERED),
        ([UNANSWERED, THROTTLED_FOR_AN_HOUR], 2, UNANSWERED),
    ],
)
def test_retries(script, calls, expected):
    harness = PolicyHarness()
    assert harness.run(*script) == expected
    assert harness.calls == calls
    assert len(harness.waits) == calls - 1


def test_each_retry_reason_is_counted():
    harness = PolicyHarness()
    harness.run(UNAVAILABLE, UNANSWERED, THROTTLED, OK)
    assert harness.events == {
        policy.CallEvent.RETRY_UNAVAILABLE: 1,
        policy.CallEvent.RETRY_UNANSWERED: 1,
        policy.CallEvent.RETRY_THROTTLED: 1,
    }


def test_backoff_delays_grow_to_their_limit_with_jitter():
    backoff = breaker.Backoff(random.Random(1), first_s=0.1, max_s=0.4)
    for retry, ceiling in enumerate([0.1, 0.2, 0.4, 0.4]):
        delays = [backoff.choose_delay(retry) for _ in range(200)]
        assert max(delays) <= ceiling
        assert max(delays) > 0.9 * ceiling
        assert min(delays) < 0.1 * ceiling


def test_no_attempt_starts_after_the_time_limit_of_a_call():
    harness = PolicyHarness()
    assert harness.run(UNANSWERED, takes_s=2.0) == UNANSWERED
    assert harness.calls == 3


class LossyTable:
    """Loses the first two responses; records the transactions."""

    def __init__(self):
        self.seen = []

    def commit(self, transaction):
        self.seen.append(transaction)
        return (
            UNANSWERED
            if len(self.seen) < 3
            else result.Ok(edges.Committed((1,)))
        )


def test_a_transaction_is_retried_under_the_same_write_id():
    harness, table = PolicyHarness(), LossyTable()
    resilient_table = policy.ResilientTable(table, harness.policy)
    sent = edges.Transaction(ids.WriteId("w"), (edges.Put("k", b"v", 0),))
    assert resilient_table.commit(sent).is_ok()
    assert table.seen == [sent] * 3


def test_the_breaker_opens_after_consecutive_failures_and_blocks_calls():
    harness = PolicyHarness()
    harness.run(UNAVAILABLE)
    refused = harness.run(UNAVAILABLE)
    assert harness.calls == 5
    assert type(refused.unwrap_err()) is policy.BreakerOpen
    assert harness.run(OK).is_err()
    assert harness.calls == 5
    assert harness.events[policy.CallEvent.REFUSED_BREAKER_OPEN] == 2


def test_an_unanswered_call_stays_unanswered_when_the_breaker_opens():
    harness = PolicyHarness()
    harness.run(UNANSWERED)
    assert harness.run(UNANSWERED) == UNANSWERED
    assert harness.calls == 5


def open_breaker(harness):
    while harness.run(UNAVAILABLE, takes_s=0.0).is_err():
        if harness.events[policy.CallEvent.REFUSED_BREAKER_OPEN]:
            return


def test_a_successful_probe_closes_the_breaker():
    harness = PolicyHarness()
    open_breaker(harness)
    harness.clock.advance(1.0)
    assert harness.run(OK) == OK
    # A single failure doesn't reopen it.
    assert harness.run(UNAVAILABLE, OK) == OK


def test_open_times_of_the_breaker_double_up_to_their_limit():
    limits = breaker.BreakerLimits(failures=1, open_s=1.0, max_open_s=4.0)
    circuit = breaker.CircuitBreaker(random.Random(3), limits)
    now, delays = 0.0, []
    for _ in range(6):
        generation = circuit.admit(now)
        circuit.record(generation, succeeded=False, now=now)
        opened = now
        while circuit.is_blocked(now):
            now += 0.01
        delays.append(now - opened)
    for delay, longest in zip(delays, [1, 2, 4, 4, 4, 4], strict=True):
        assert longest / 2 <= delay <= longest + 0.011


def test_only_one_probe_at_a_time():
    circuit = breaker.CircuitBreaker(
        random.Random(3), breaker.BreakerLimits(failures=1)
    )
    circuit.record(circuit.admit(0.0), succeeded=False, now=0.0)
    assert circuit.admit(5.0) is not None
    assert circuit.state is breaker.BreakerState.HALF_OPEN
    assert circuit.admit(5.0) is None


def test_results_of_calls_sent_before_the_breaker_opened_are_ignored():
    circuit = breaker.CircuitBreaker(
        random.Random(3), breaker.BreakerLimits(failures=1)
    )
    outdated = circuit.admit(0.0)
    circuit.record(circuit.admit(0.0), succeeded=False, now=0.0)
    circuit.record(outdated, succeeded=True, now=0.1)
    assert circuit.state is breaker.BreakerState.OPEN


def test_a_call_that_raises_counts_as_a_failure():
    harness = PolicyHarness()
    for _ in range(5):
        with pytest.raises(ZeroDivisionError):
            harness.policy.run(budget.CallKind.READ, lambda: 1 // 0)
    assert harness.run(OK).is_err()


def test_conflicts_and_throttling_leave_the_breaker_closed():
    harness = PolicyHarness()
    for _ in range(20):
        harness.run(CONFLICT)
        harness.run(THROTTLED_FOR_AN_HOUR)
    assert harness.run(OK) == OK


def test_an_exhausted_budget_waits_for_a_token_or_refuses():
    share = budget.Budget(0.0, budget.Rates(reads=400.0, writes=1.0))
    harness = PolicyHarness(share)
    for _ in range(4):
        assert harness.run(OK) == OK
    assert harness.waits == []
    assert harness.run(OK) == OK  # At one read a second this read had to wait.
    assert 0.5 < sum(harness.waits) < 2.0
    slow = PolicyHarness(
        budget.Budget(0.0, budget.Rates(reads=4.0, writes=1.0))
    )
    for _ in range(4):
        slow.run(OK)
    refused = slow.run(OK).unwrap_err()
    assert type(refused) is errors.Throttled
    assert refused.retry_after_s > 90
    assert slow.calls == 4


def test_an_open_breaker_consumes_no_budget():
    share = budget.Budget(0.0)
    harness = PolicyHarness(share)
    share.set_instances(1, 0.0)
    open_breaker(harness)
    for _ in range(5000):
        harness.run(OK)
    assert share.take(budget.CallKind.READ, harness.clock.monotonic()) == 0.0


class UnavailableService:
    """An unavailable service of any kind; counts its calls."""

    def __init__(self):
        self.calls = 0

    def _fail(self, *_):
        self.calls += 1
        return UNAVAILABLE

    read = scan = commit = fetch = store = remove = request_read = _fail


def test_services_share_the_budget_but_not_the_breaker():
    services = [UnavailableService() for _ in range(4)]
    harness = PolicyHarness()
    deps = policy.Dependencies(
        now=harness.clock, rng=random.Random(1), wait=harness.wait
    )
    platform = policy.Platform(
        table=services[0],
        objects=services[1],
        instances=services[2],
        weights=services[3],
        deps=deps,
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
    # Five failures open a breaker; weight permits are never retried.
    assert [one.calls for one in services] == [5, 5, 4, 1]
