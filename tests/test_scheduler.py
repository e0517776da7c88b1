"""The thread-safe front: every future gets exactly one decision."""

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


class Rig:
    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.timers = timers.Timers(self.clock)
        self.front = scheduler.Scheduler(
            "entry-0", self.clock, random.Random(1), self.timers, waiting=4
        )

    def start(self) -> None:
        self.front.start()
        endpoint = model.EndpointSettings(
            address="10.0.0.1:80",
            data_centre="a",
            models=("lines",),
            slots=SLOTS,
        )
        root = model.RootSettings(endpoints={"runner-0": endpoint})
        tree = model.Tree(root=root)
        event = settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))
        self.front.report(event)

    def submit(self, name: str) -> scheduler.Pending:
        now = self.clock.monotonic()
        return self.front.submit(
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
        """Returns once the actor has taken all that was sent to it."""
        self.front.ask_again(
            messages.AskAgain(
                request="nobody", reason=messages.RetryReason.NEVER_SENT
            )
        ).result(WAIT_S)


@pytest.fixture
def rig() -> Iterator[Rig]:
    started = Rig()
    started.start()
    yield started
    started.front.stop()


def read_reason(pending: scheduler.Pending) -> _Reason:
    decision = pending.result(WAIT_S)
    assert isinstance(decision, admission_messages.Refused)
    return decision.reason


def test_slots_are_granted_and_pass_on_to_who_waits(rig: Rig) -> None:
    first = rig.submit("a").result(WAIT_S)
    assert isinstance(first, messages.Grant)
    assert first.address == "10.0.0.1:80"
    rig.submit("b").result(WAIT_S)
    waiting = rig.submit("c")
    rig.settle()
    assert not waiting.done()
    rig.front.report(
        messages.AttemptEnded(
            attempt=first.attempt,
            how=messages.AttemptEnd.FINISHED,
            tokens=5,
            at=1.0,
        )
    )
    assert isinstance(waiting.result(WAIT_S), messages.Grant)


def test_stop_refuses_what_waits_and_what_comes_after(rig: Rig) -> None:
    for name in ("a", "b"):
        rig.submit(name).result(WAIT_S)
    waiting = rig.submit("c")
    rig.front.stop()
    assert read_reason(waiting) is _Reason.STOPPING
    assert read_reason(rig.submit("d")) is _Reason.STOPPING
    rig.front.report(messages.RequestClosed(request="a"))


def test_drain_refuses_new_requests_and_serves_those_that_wait(
    rig: Rig,
) -> None:
    grants = [rig.submit(name).result(WAIT_S) for name in ("a", "b")]
    waiting = rig.submit("c")
    rig.front.drain()
    assert read_reason(rig.submit("d")) is _Reason.STOPPING
    assert isinstance(grants[0], messages.Grant)
    rig.front.report(
        messages.AttemptEnded(
            attempt=grants[0].attempt,
            how=messages.AttemptEnd.CANCELLED,
            tokens=0,
            at=1.0,
        )
    )
    assert isinstance(waiting.result(WAIT_S), messages.Grant)


def test_wait_ends_when_the_clock_says_so(rig: Rig) -> None:
    for name in ("a", "b"):
        rig.submit(name).result(WAIT_S)
    waiting = rig.submit("c")
    rig.settle()
    rig.clock.advance(31.0)
    rig.timers.run_due()
    assert read_reason(waiting) is _Reason.WAITED_TOO_LONG


def test_unknown_event_does_not_end_the_actor(rig: Rig) -> None:
    rig.front.report(object())
    assert isinstance(rig.submit("a").result(WAIT_S), messages.Grant)


def test_pressure_and_counters_show_after_a_tick(rig: Rig) -> None:
    for name in ("a", "b", "c"):
        rig.submit(name)
    rig.settle()
    rig.clock.advance(0.1)
    rig.timers.run_due()
    rig.settle()
    pressure = rig.front.read_pressure()
    [held] = pressure.occupancies
    [demand] = pressure.demands
    assert (held.endpoint, held.tier, held.in_flight) == ("runner-0", 3, 2)
    assert (demand.model, demand.tier, demand.waiting) == ("lines", 3, 1)
    assert rig.front.read_counters().attempts == 2


def test_many_threads_get_one_decision_each(rig: Rig) -> None:
    decided: list[object] = []
    lock = threading.Lock()

    def ask(n: int) -> None:
        decision = rig.submit(f"q{n}").result(WAIT_S)
        if isinstance(decision, messages.Grant):
            rig.front.report(
                messages.AttemptEnded(
                    attempt=decision.attempt,
                    how=messages.AttemptEnd.FINISHED,
                    tokens=3,
                    at=0.5,
                )
            )
        rig.front.report(messages.RequestClosed(request=f"q{n}"))
        with lock:
            decided.append(decision)

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        list(pool.map(ask, range(200)))
    rig.settle()
    rig.clock.advance(0.1)
    rig.timers.run_due()
    rig.settle()
    assert len(decided) == 200
    assert rig.front.read_pressure().occupancies == ()
