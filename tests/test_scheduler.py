"""The scheduler resolves every future with exactly one decision."""

from collections.abc import Iterator
import concurrent.futures
import random
import threading

import pytest

from pollenfork import clock
from pollenfork import scheduler
from pollenfork import timers
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot

SLOTS = 2
WAIT_S = 10.0

_Reason = admission_messages.RefusalReason


class Harness:
    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.timers = timers.Timers(self.clock)
        self.scheduler = scheduler.Scheduler(
            "entry-0", self.clock, random.Random(1), self.timers, waiting=4
        )

    def start(self) -> None:
        self.scheduler.start()
        endpoint = model.EndpointSettings(
            address="10.0.0.1:80",
            data_centre="a",
            models=("lines",),
            slots=SLOTS,
        )
        root = model.RootSettings(endpoints={"runner-0": endpoint})
        tree = model.Tree(root=root)
        event = settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))
        self.scheduler.report(event)

    def submit(self, name: str) -> scheduler.Pending:
        now = self.clock.monotonic()
        return self.scheduler.submit(
            admission_messages.Ask(
                request=name,
                team="linework",
                account="crew",
                class_name="questions",
                tier=3,
                model="lines",
                arrived=now,
                first_token_due=now + 5.0,
                give_up_at=now + 30.0,
                late_refused=False,
            )
        )

    def settle(self) -> None:
        """Waits until the actor has handled all messages sent to it."""
        self.scheduler.ask_again(
            messages.AskAgain(
                request="unknown", reason=messages.RetryReason.NEVER_SENT
            )
        ).result(WAIT_S)


@pytest.fixture
def harness() -> Iterator[Harness]:
    started = Harness()
    started.start()
    yield started
    started.scheduler.stop()


def read_reason(pending: scheduler.Pending) -> _Reason:
    decision = pending.result(WAIT_S)
    assert isinstance(decision, admission_messages.Refused)
    return decision.reason


def test_freed_slot_goes_to_a_waiting_request(harness: Harness) -> None:
    first = harness.submit("a").result(WAIT_S)
    assert isinstance(first, messages.Grant)
    assert first.address == "10.0.0.1:80"
    harness.submit("b").result(WAIT_S)
    waiting = harness.submit("c")
    harness.settle()
    assert not waiting.done()
    harness.scheduler.report(
        messages.AttemptEnded(
            attempt=first.attempt,
            how=messages.AttemptEnd.FINISHED,
            tokens=5,
            at=1.0,
        )
    )
    assert isinstance(waiting.result(WAIT_S), messages.Grant)


def test_stop_refuses_waiting_and_later_requests(harness: Harness) -> None:
    for name in ("a", "b"):
        harness.submit(name).result(WAIT_S)
    waiting = harness.submit("c")
    harness.scheduler.stop()
    assert read_reason(waiting) is _Reason.STOPPING
    assert read_reason(harness.submit("d")) is _Reason.STOPPING
    harness.scheduler.report(messages.RequestClosed(request="a"))


def test_drain_refuses_new_requests_and_serves_waiting_ones(
    harness: Harness,
) -> None:
    grants = [harness.submit(name).result(WAIT_S) for name in ("a", "b")]
    waiting = harness.submit("c")
    harness.scheduler.drain()
    assert read_reason(harness.submit("d")) is _Reason.STOPPING
    assert isinstance(grants[0], messages.Grant)
    harness.scheduler.report(
        messages.AttemptEnded(
            attempt=grants[0].attempt,
            how=messages.AttemptEnd.CANCELLED,
            tokens=0,
            at=1.0,
        )
    )
    assert isinstance(waiting.result(WAIT_S), messages.Grant)


def test_waiting_request_expires(harness: Harness) -> None:
    for name in ("a", "b"):
        harness.submit(name).result(WAIT_S)
    waiting = harness.submit("c")
    harness.settle()
    harness.clock.advance(31.0)
    harness.timers.run_due()
    assert read_reason(waiting) is _Reason.WAITED_TOO_LONG


def test_unknown_event_does_not_end_the_actor(harness: Harness) -> None:
    harness.scheduler.report(object())
    assert isinstance(harness.submit("a").result(WAIT_S), messages.Grant)


def test_tick_publishes_pressure_and_counters(harness: Harness) -> None:
    for name in ("a", "b", "c"):
        harness.submit(name)
    harness.settle()
    harness.clock.advance(0.1)
    harness.timers.run_due()
    harness.settle()
    pressure = harness.scheduler.read_pressure()
    [held] = pressure.occupancies
    [demand] = pressure.demands
    assert (held.endpoint, held.tier, held.in_flight) == ("runner-0", 3, 2)
    assert (demand.model, demand.tier, demand.waiting) == ("lines", 3, 1)
    assert harness.scheduler.read_counters().attempts == 2


def test_many_threads_get_one_decision_each(harness: Harness) -> None:
    decisions: list[object] = []
    lock = threading.Lock()

    def ask(n: int) -> None:
        decision = harness.submit(f"q{n}").result(WAIT_S)
        if isinstance(decision, messages.Grant):
            harness.scheduler.report(
                messages.AttemptEnded(
                    attempt=decision.attempt,
                    how=messages.AttemptEnd.FINISHED,
                    tokens=3,
                    at=0.5,
                )
            )
        harness.scheduler.report(messages.RequestClosed(request=f"q{n}"))
        with lock:
            decisions.append(decision)

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        list(pool.map(ask, range(200)))
    harness.settle()
    harness.clock.advance(0.1)
    harness.timers.run_due()
    harness.settle()
    assert len(decisions) == 200
    assert harness.scheduler.read_pressure().occupancies == ()
