"""Hedged copies of requests whose first token is late."""

import concurrent.futures
import threading

import msgspec
import pytest
import result

from pollenfork.answers import engine
from pollenfork.answers.tests import fakes

REPLY = fakes.STREAM_HEAD + fakes.encode_stream(3)
WHOLE = fakes.encode_stream(3)
LATER = 1000.0


class Race:
    """One request and two engines that hold their answers until released."""

    def __init__(self, after_s: float = 0.0, slots: int = 1) -> None:
        self.first = fakes.ScriptedEngine((b"",), holds=True)
        self.second = fakes.ScriptedEngine((b"",), holds=True)
        self.first.held_bytes = REPLY
        self.second.held_bytes = REPLY
        self.slots = fakes.FakeSlots([self.second.address] * slots)
        self.relay = fakes.make_relay(self.slots)
        self.caller = fakes.FakeCaller()
        grant = msgspec.structs.replace(
            fakes.make_grant(self.first.address), hedge_after_s=after_s
        )
        pool = concurrent.futures.ThreadPoolExecutor(1)
        self._pending = pool.submit(
            self.relay.open, fakes.make_call(), grant, self.caller
        )

    def wait(self) -> result.Result:
        return self._pending.result(20)

    def finish(self) -> bytes:
        received = fakes.read_all(self.wait().unwrap(), pumped=True)
        self.stop()
        return received

    def stop(self) -> None:
        self.relay.stop()
        self.first.close()
        self.second.close()


def test_copy_wins_and_the_original_is_cancelled() -> None:
    race = Race()
    assert race.first.answered.wait(20)
    assert race.second.answered.wait(20)
    race.second.stop()
    race.wait()
    assert race.first.cancel_received.wait(20)
    assert race.finish() == WHOLE
    assert race.relay.counters.hedges == {"won": 1}
    assert race.relay.counters.cancels == {"hedge_lost": 1}
    assert "POST /v1/cancel" in race.first.calls
    ends = sorted(race.slots.list_ends())
    assert ends == [("a0", "cancelled", 0), ("a1", "finished", 3)]


# Guards against cancelling an attempt that never reached its endpoint: a copy
# that wins before the original is sent interrupts it, so nothing runs there.
def test_original_that_was_never_sent_is_not_cancelled(monkeypatch) -> None:
    connect = engine.Exchange._connect
    interrupt = engine.Exchange.interrupt
    interrupted = threading.Event()
    begun = threading.Event()

    def connect_late(exchange, streamed, timeout_s):
        assert begun.wait(20)
        if exchange._address == race.first.address:
            assert interrupted.wait(20)
        return connect(exchange, streamed, timeout_s)

    def record_interrupt(exchange):
        interrupt(exchange)
        interrupted.set()

    monkeypatch.setattr(engine.Exchange, "_connect", connect_late)
    monkeypatch.setattr(engine.Exchange, "interrupt", record_interrupt)
    race = Race()
    begun.set()
    assert race.second.answered.wait(20)
    race.second.stop()
    assert race.finish() == WHOLE
    assert race.relay.counters.hedges == {"won": 1}
    assert race.relay.counters.cancels == {}
    assert not race.first.answered.is_set()
    assert "POST /v1/cancel" not in race.first.calls
    ends = sorted(race.slots.list_ends())
    assert ends == [("a0", "never_sent", 0), ("a1", "finished", 3)]


def test_original_wins_and_the_copy_is_cancelled() -> None:
    race = Race()
    assert race.second.answered.wait(20)
    race.first.stop()
    race.wait()
    assert race.second.cancel_received.wait(20)
    assert race.finish() == WHOLE
    assert sorted(race.slots.list_ends())[0] == ("a0", "finished", 3)


def test_no_copy_before_the_hedge_delay() -> None:
    race = Race(after_s=LATER)
    race.first.stop()
    assert race.finish() == WHOLE
    assert race.slots.retry_requests == []


def test_copy_without_a_slot_leaves_the_original_alone() -> None:
    race = Race(slots=0)
    assert race.slots.retry_requested.wait(20)
    race.first.stop()
    assert race.finish() == WHOLE
    assert race.slots.list_ends() == [("a0", "finished", 3)]


def test_broken_original_waits_for_the_copy() -> None:
    race = Race()
    assert race.second.answered.wait(20)
    race.first.held_bytes = b""
    race.first.stop()
    race.second.stop()
    assert race.finish() == WHOLE
    assert race.relay.counters.hedges == {"won": 1}
    assert race.relay.counters.retries == {}


@pytest.mark.parametrize("both", [True, False], ids=["both", "first_only"])
def test_disconnect_cancels_original_and_copy(both: bool) -> None:
    race = Race(after_s=0.0 if both else LATER)
    assert race.first.answered.wait(20)
    if both:
        assert race.second.answered.wait(20)
    race.caller.disconnect()
    race.wait().unwrap_err()
    race.stop()
    assert race.first.cancel_received.is_set()
    assert race.second.cancel_received.is_set() == both
    ends = [end[:2] for end in race.slots.list_ends()]
    copies = ["a0", "a1"] if both else ["a0"]
    assert sorted(ends) == [(copy, "cancelled") for copy in copies]
