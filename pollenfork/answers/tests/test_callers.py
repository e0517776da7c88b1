"""A caller's disconnect cancels the engine's work at every stage."""

from collections.abc import Callable
import concurrent.futures

import pytest

from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.answers import session
from pollenfork.answers.tests import fakes
from pollenfork.dispatch import messages as dispatch_messages

HEAD = fakes.STREAM_HEAD


def open_in_background(
    relay: session.Relay,
    engine: fakes.ScriptedEngine,
    caller: fakes.FakeCaller,
) -> concurrent.futures.Future:
    pool = concurrent.futures.ThreadPoolExecutor(1)
    grant = fakes.make_grant(engine.address)
    return pool.submit(relay.open, fakes.make_call(), grant, caller)


@pytest.mark.parametrize(
    "script", [b"", HEAD], ids=["before_head", "before_first_event"]
)
def test_disconnect_before_the_first_byte(script: bytes) -> None:
    engine = fakes.ScriptedEngine((script,), holds=True)
    slots = fakes.FakeSlots([])
    relay = fakes.make_relay(slots)
    caller = fakes.FakeCaller()
    pending = open_in_background(relay, engine, caller)
    assert engine.answered.wait(5)
    caller.disconnect()
    failure = pending.result(5).unwrap_err()
    relay.stop()
    assert isinstance(failure, errors.CallerGone)
    assert slots.list_ends() == [("a0", "cancelled", 0)]
    assert engine.calls[-1] == "POST /v1/cancel"
    assert relay.counters.cancels == {"caller_gone": 1}
    assert relay.counters.cancel_outcomes == {"cancelled": 1}
    engine.close()


def test_disconnect_before_anything_is_sent() -> None:
    engine = fakes.ScriptedEngine()
    slots = fakes.FakeSlots([])
    relay = fakes.make_relay(slots)
    caller = fakes.FakeCaller()
    caller.disconnect()
    failure = open_in_background(relay, engine, caller).result(5).unwrap_err()
    relay.stop()
    assert isinstance(failure, errors.CallerGone)
    assert engine.bodies == []
    assert len(slots.list_ends()) == 1


def close_early(answer: session.Answer, caller: fakes.FakeCaller) -> None:
    next(answer.chunks)
    answer.chunks.close()


def disconnect_while_the_worker_reads(
    answer: session.Answer, caller: fakes.FakeCaller
) -> None:
    next(answer.chunks)
    caller.disconnect()
    assert b"answer_broken" in b"".join(answer.chunks)
    answer.chunks.close()


def disconnect_while_the_pump_forwards(
    answer: session.Answer, caller: fakes.FakeCaller
) -> None:
    answer.chunks.attach(lambda data: None)
    disconnect_while_the_worker_reads(answer, caller)


def fail_a_write(answer: session.Answer, caller: fakes.FakeCaller) -> None:
    def write(data: bytes) -> None:
        raise ConnectionError

    answer.chunks.attach(write)
    next(answer.chunks)
    caller.engine.stop()
    with pytest.raises(ConnectionError):
        next(answer.chunks)
    answer.chunks.close()


@pytest.mark.parametrize(
    "disconnect",
    [
        close_early,
        disconnect_while_the_worker_reads,
        disconnect_while_the_pump_forwards,
        fail_a_write,
    ],
)
def test_disconnect_midway(
    disconnect: Callable[[session.Answer, fakes.FakeCaller], None],
) -> None:
    script = HEAD + fakes.encode_events(0, 2)
    engine = fakes.ScriptedEngine((script,), holds=True)
    engine.held_bytes = fakes.encode_event(2)
    slots = fakes.FakeSlots([])
    relay = fakes.make_relay(slots)
    caller = fakes.FakeCaller(engine)
    opened = open_in_background(relay, engine, caller).result(5)
    disconnect(opened.unwrap(), caller)
    relay.stop()
    assert [end[:2] for end in slots.list_ends()] == [("a0", "cancelled")]
    assert engine.calls[-1] == "POST /v1/cancel"
    closed = dispatch_messages.RequestClosed(request="r")
    assert slots.events.count(closed) == 1
    assert relay.counters.broken == {}
    engine.close()


def test_disconnect_after_the_last_byte() -> None:
    engine = fakes.ScriptedEngine((HEAD + fakes.encode_stream(2),))
    slots = fakes.FakeSlots([])
    relay = fakes.make_relay(slots)
    caller = fakes.FakeCaller()
    opened = open_in_background(relay, engine, caller).result(5)
    fakes.read_all(opened.unwrap(), pumped=True)
    caller.disconnect()
    opened.unwrap().chunks.close()
    relay.stop()
    assert slots.list_ends() == [("a0", "finished", 2)]
    assert "POST /v1/cancel" not in engine.calls


@pytest.mark.parametrize("late", [True, False], ids=["granted", "refused"])
def test_disconnect_while_waiting_for_another_endpoint(late: bool) -> None:
    engine = fakes.ScriptedEngine((b"",))
    slots = fakes.FakeSlots(["127.0.0.1:9"] if late else [], decides=False)
    relay = fakes.make_relay(slots)
    caller = fakes.FakeCaller()
    pending = open_in_background(relay, engine, caller)
    assert slots.retry_requested.wait(5)
    caller.disconnect()
    pending.result(5).unwrap_err()
    # A grant that arrives too late is released, or its slot would leak.
    slots.pending[0].set_result(slots.decide())
    relay.stop()
    returned = ("a1", "never_sent", 0) in slots.list_ends()
    assert returned == late


def test_late_grant_is_released() -> None:
    engine = fakes.ScriptedEngine((b"",))
    slots = fakes.FakeSlots(["127.0.0.1:9"], decides=False)
    limits = messages.Limits(retry_wait_s=0.01)
    relay = fakes.make_relay(slots, limits)
    grant = fakes.make_grant(engine.address)
    relay.open(fakes.make_call(), grant).unwrap_err()
    slots.pending[0].set_result(slots.decide())
    relay.stop()
    assert ("a1", "never_sent", 0) in slots.list_ends()
