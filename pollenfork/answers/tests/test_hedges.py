"""A second copy of a request whose first token is late."""

import concurrent.futures
import threading

import msgspec
import pytest
import result

from pollenfork.answers import engine
from pollenfork.answers.tests import far_ends

REPLY = far_ends.STREAM_HEAD + far_ends.write_whole(3)
WHOLE = far_ends.write_whole(3)
LATER = 1000.0


class Race:
    """Two engines that hold back until released, and one request."""

    def __init__(self, after_s: float = 0.0, slots: int = 1) -> None:
        self.first = far_ends.ScriptedEngine((b"",), holds=True)
        self.second = far_ends.ScriptedEngine((b"",), holds=True)
        self.first.last_words = REPLY
        self.second.last_words = REPLY
        self.slots = far_ends.FakeSlots([self.second.address] * slots)
        self.relay = far_ends.make_relay(self.slots)
        self.caller = far_ends.Caller()
        grant = msgspec.structs.replace(
            far_ends.make_grant(self.first.address), hedge_after_s=after_s
        )
        pool = concurrent.futures.ThreadPoolExecutor(1)
        self._pending = pool.submit(
            self.relay.open, far_ends.make_call(), grant, self.caller
        )

    def wait(self) -> result.Result:
        return self._pending.result(20)

    def finish(self) -> bytes:
        passed = far_ends.read_all(self.wait().unwrap(), pumped=True)
        self.stop()
        return passed

    def stop(self) -> None:
        self.relay.stop()
        self.first.close()
        self.second.close()


def test_second_copy_wins_and_the_first_is_cancelled() -> None:
    race = Race()
    assert race.first.answered.wait(20)
    assert race.second.answered.wait(20)
    race.second.stop()
    race.wait()
    assert race.first.cancel_asked.wait(20)
    assert race.finish() == WHOLE
    assert race.relay.counters.hedges == {"won": 1}
    assert race.relay.counters.cancels == {"hedge_lost": 1}
    assert "POST /v1/cancel" in race.first.calls
    ends = sorted(race.slots.list_ends())
    assert ends == [("a0", "cancelled", 0), ("a1", "finished", 3)]


# Guards against a cancel for what never reached an endpoint: a second copy that
# wins before the first is sent interrupts it, and nothing runs there.
def test_a_first_copy_that_was_never_sent_is_not_cancelled(monkeypatch) -> None:
    connect = engine.Exchange._connect
    interrupt = engine.Exchange.interrupt
    interrupted = threading.Event()
    begun = threading.Event()

    def connect_late(exchange, streamed, timeout_s):
        assert begun.wait(20)
        if exchange._address == race.first.address:
            assert interrupted.wait(20)
        return connect(exchange, streamed, timeout_s)

    def note_interrupt(exchange):
        interrupt(exchange)
        interrupted.set()

    monkeypatch.setattr(engine.Exchange, "_connect", connect_late)
    monkeypatch.setattr(engine.Exchange, "interrupt", note_interrupt)
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


def test_first_copy_wins_and_the_second_is_cancelled() -> None:
    race = Race()
    assert race.second.answered.wait(20)
    race.first.stop()
    race.wait()
    assert race.second.cancel_asked.wait(20)
    assert race.finish() == WHOLE
    assert sorted(race.slots.list_ends())[0] == ("a0", "finished", 3)


def test_no_second_copy_before_its_time() -> None:
    race = Race(after_s=LATER)
    race.first.stop()
    assert race.finish() == WHOLE
    assert race.slots.asked == []


def test_second_copy_without_a_slot_leaves_the_first_alone() -> None:
    race = Race(slots=0)
    assert race.slots.waiting.wait(20)
    race.first.stop()
    assert race.finish() == WHOLE
    assert race.slots.list_ends() == [("a0", "finished", 3)]


def test_first_copy_that_breaks_waits_for_the_second() -> None:
    race = Race()
    assert race.second.answered.wait(20)
    race.first.last_words = b""
    race.first.stop()
    race.second.stop()
    assert race.finish() == WHOLE
    assert race.relay.counters.hedges == {"won": 1}
    assert race.relay.counters.retries == {}


@pytest.mark.parametrize("both", [True, False], ids=["both", "first_only"])
def test_caller_that_leaves_cancels_every_copy(both: bool) -> None:
    race = Race(after_s=0.0 if both else LATER)
    assert race.first.answered.wait(20)
    if both:
        assert race.second.answered.wait(20)
    race.caller.go()
    race.wait().unwrap_err()
    race.stop()
    assert race.first.cancel_asked.is_set()
    assert race.second.cancel_asked.is_set() == both
    ends = [end[:2] for end in race.slots.list_ends()]
    copies = ["a0", "a1"] if both else ["a0"]
    assert sorted(ends) == [(copy, "cancelled") for copy in copies]
