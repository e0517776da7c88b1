"""Guards the rate of samples on the wire, and which are sent first."""

import random

import msgspec
import pytest

from pollenfork.loads import messages
from pollenfork.pace import outbox

SECONDS = 20.0
TICK_S = 0.05


def count_sent(instances: int, offered_per_s: float) -> list[int]:
    """Returns how many samples each of some instances sends."""
    rng = random.Random(instances)
    sent = []
    for _ in range(min(instances, 40)):
        waiting = outbox.Outbox(lambda runner: 0)
        waiting.set_instances(instances)
        count = 0
        for tick in range(int(SECONDS / TICK_S)):
            now = 100.0 + tick * TICK_S
            for _ in range(int(offered_per_s * TICK_S)):
                sample = messages.PaceSample(rng.randrange(600), 20.0)
                waiting.add(sample, now)
            count += len(waiting.take(now))
        sent.append(count)
    return sent


@pytest.mark.parametrize("instances", [6, 81, 360])
def test_all_instances_together_send_200_samples_a_second(instances) -> None:
    sent = count_sent(instances, 400.0)
    total = sum(sent) / len(sent) * instances / SECONDS
    assert 170 <= total <= 215


def test_an_instance_sends_a_sample_per_2_s_in_any_case() -> None:
    sent = count_sent(5000, 20.0)
    assert all(9 <= count <= 11 for count in sent)


def test_an_instance_that_has_just_started_sends_at_the_least_rate() -> None:
    # It doesn't know yet among how many instances the rate is divided.
    waiting = outbox.Outbox(lambda runner: 0)
    for number in range(50):
        waiting.add(messages.PaceSample(number, 20.0), 100.0)
    assert len(waiting.take(100.0)) == 1


def test_a_usual_sample_takes_at_most_8_bytes() -> None:
    waiting = outbox.Outbox(lambda runner: 0)
    for interval_ms in (16.0, 18.7, 40.83, 126.9):
        sample = messages.PaceSample(2**32 - 1, interval_ms)
        waiting.add(sample, 100.0)
        (sent,) = waiting.take(100.0)
        data = msgspec.msgpack.encode(sent)
        assert len(data) <= 8
        received = msgspec.msgpack.decode(data, type=messages.PaceSample)
        assert received.interval_ms == pytest.approx(interval_ms, rel=0.032)
        waiting = outbox.Outbox(lambda runner: 0)


def test_short_intervals_are_sent_in_full() -> None:
    waiting = outbox.Outbox(lambda runner: 0)
    sample = messages.PaceSample(1, 4.55)
    waiting.add(sample, 100.0)
    assert waiting.take(100.0) == (sample,)


def test_runners_with_few_known_samples_are_sent_first() -> None:
    known = {1: 9, 2: 0, 3: 5}
    waiting = outbox.Outbox(known.__getitem__)
    for runner in known:
        waiting.add(messages.PaceSample(runner, 20.0), 100.0)
    assert [each.runner for each in waiting.take(100.0)] == [2]


def test_samples_that_waited_too_long_or_are_of_gone_runners_are_dropped():
    waiting = outbox.Outbox(lambda runner: 0)
    waiting.set_instances(1)
    waiting.add(messages.PaceSample(1, 20.0), 100.0)
    waiting.add(messages.PaceSample(2, 20.0), 102.5)
    waiting.retain({1})
    assert waiting.take(102.5) == ()
