"""A caller that goes away: the engine's work is cancelled at each stage."""

from collections.abc import Callable
import concurrent.futures

import pytest

from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.answers import session
from pollenfork.answers.tests import far_ends
from pollenfork.dispatch import messages as dispatch_messages

HEAD = far_ends.STREAM_HEAD


def open_soon(
    relay: session.Relay,
    engine: far_ends.ScriptedEngine,
    caller: far_ends.Caller,
) -> concurrent.futures.Future:
    pool = concurrent.futures.ThreadPoolExecutor(1)
    grant = far_ends.make_grant(engine.address)
    return pool.submit(relay.open, far_ends.make_call(), grant, caller)


@pytest.mark.parametrize(
    "script", [b"", HEAD], ids=["before_head", "before_first_event"]
)
def test_caller_goes_before_the_first_byte(script: bytes) -> None:
    engine = far_ends.ScriptedEngine((script,), holds=True)
    slots = far_ends.FakeSlots([])
    relay = far_ends.make_relay(slots)
    caller = far_ends.Caller()
    pending = open_soon(relay, engine, caller)
    assert engine.answered.wait(5)
    caller.go()
    failure = pending.result(5).unwrap_err()
    relay.stop()
    assert isinstance(failure, errors.CallerGone)
    assert slots.list_ends() == [("a0", "cancelled", 0)]
    assert engine.calls[-1] == "POST /v1/cancel"
    assert relay.counters.cancels == {"caller_gone": 1}
    assert relay.counters.cancel_outcomes == {"cancelled": 1}
    engine.close()


def test_caller_goes_before_anything_is_sent() -> None:
    engine = far_ends.ScriptedEngine()
    slots = far_ends.FakeSlots([])
    relay = far_ends.make_relay(slots)
    caller = far_ends.Caller()
    caller.go()
    failure = open_soon(relay, engine, caller).result(5).unwrap_err()
    relay.stop()
    assert isinstance(failure, errors.CallerGone)
    assert engine.bodies == []
    assert len(slots.list_ends()) == 1


def close_early(answer: session.Answer, caller: far_ends.Caller) -> None:
    next(answer.chunks)
    answer.chunks.close()


def go_while_the_worker_reads(
    answer: session.Answer, caller: far_ends.Caller
) -> None:
    next(answer.chunks)
    caller.go()
    assert b"answer_broken" in b"".join(answer.chunks)
    answer.chunks.close()


def go_while_the_pump_moves(
    answer: session.Answer, caller: far_ends.Caller
) -> None:
    answer.chunks.attach(lambda data: None)
    go_while_the_worker_reads(answer, caller)


def fail_a_write(answer: session.Answer, caller: far_ends.Caller) -> None:
    def write(data: bytes) -> None:
        raise ConnectionError

    answer.chunks.attach(write)
    next(answer.chunks)
    caller.engine.stop()
    with pytest.raises(ConnectionError):
        next(answer.chunks)
    answer.chunks.close()


@pytest.mark.parametrize(
    "leave",
    [
        close_early,
        go_while_the_worker_reads,
        go_while_the_pump_moves,
        fail_a_write,
    ],
)
def test_caller_goes_midway(
    leave: Callable[[session.Answer, far_ends.Caller], None],
) -> None:
    script = HEAD + far_ends.write_events(0, 2)
    engine = far_ends.ScriptedEngine((script,), holds=True)
    engine.last_words = far_ends.write_event(2)
    slots = far_ends.FakeSlots([])
    relay = far_ends.make_relay(slots)
    caller = far_ends.Caller(engine)
    opened = open_soon(relay, engine, caller).result(5)
    leave(opened.unwrap(), caller)
    relay.stop()
    assert [end[:2] for end in slots.list_ends()] == [("a0", "cancelled")]
    assert engine.calls[-1] == "POST /v1/cancel"
    closed = dispatch_messages.RequestClosed(request="r")
    assert slots.events.count(closed) == 1
    assert relay.counters.broken == {}
    engine.close()


def test_caller_goes_after_the_last_byte() -> None:
    engine = far_ends.ScriptedEngine((HEAD + far_ends.write_whole(2),))
    slots = far_ends.FakeSlots([])
    relay = far_ends.make_relay(slots)
    caller = far_ends.Caller()
    opened = open_soon(relay, engine, caller).result(5)
    far_ends.read_all(opened.unwrap(), pumped=True)
    caller.go()
    opened.unwrap().chunks.close()
    relay.stop()
    assert slots.list_ends() == [("a0", "finished", 2)]
    assert "POST /v1/cancel" not in engine.calls


@pytest.mark.parametrize("late", [True, False], ids=["granted", "refused"])
def test_caller_goes_while_another_endpoint_is_asked_for(late: bool) -> None:
    engine = far_ends.ScriptedEngine((b"",))
    slots = far_ends.FakeSlots(["127.0.0.1:9"] if late else [], decides=False)
    relay = far_ends.make_relay(slots)
    caller = far_ends.Caller()
    pending = open_soon(relay, engine, caller)
    assert slots.waiting.wait(5)
    caller.go()
    pending.result(5).unwrap_err()
    # A grant that comes too late is given back: the slot must not leak.
    slots.pending[0].set_result(slots.decide())
    relay.stop()
    returned = ("a1", "never_sent", 0) in slots.list_ends()
    assert returned == late


def test_late_grant_for_a_waiting_request_is_given_back() -> None:
    engine = far_ends.ScriptedEngine((b"",))
    slots = far_ends.FakeSlots(["127.0.0.1:9"], decides=False)
    limits = messages.Limits(again_s=0.01)
    relay = far_ends.make_relay(slots, limits)
    grant = far_ends.make_grant(engine.address)
    relay.open(far_ends.make_call(), grant).unwrap_err()
    slots.pending[0].set_result(slots.decide())
    relay.stop()
    assert ("a1", "never_sent", 0) in slots.list_ends()
