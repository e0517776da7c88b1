"""Changes of a restored store that are numbered as known ones were before."""

import logging

import pytest

from pollenfork.gateway import following
from pollenfork.platform.tests.simulation import judge
from pollenfork.platform.tests.simulation import play
from pollenfork.platform.tests.simulation import schedules

Step = schedules.Step

_SIZES = ((3,), (2, 2), (3, 3, 2))


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def run(sizes: tuple[int, ...]) -> judge.Outcome:
    """Plays a leaving that has the number of a change lost with the store."""
    steps = (
        Step(5.0, "copy"),
        Step(6.0, "add"),
        Step(8.0, "restore"),
        Step(8.3, "leave"),
    )
    return play.run(schedules.Schedule(sizes, steps), seed=1)


# Guards against learning of a restored store by one table's call alone: the one
# that waits for runners is held as if nothing had changed.
@pytest.mark.parametrize("sizes", _SIZES)
def test_a_leaving_numbered_as_a_lost_change_is_known_in_time(sizes) -> None:
    outcome = run(sizes)
    assert outcome.broken == []
    (took_s,) = outcome.leaving_s.values()
    assert took_s <= judge.STRICTEST_S


# Injects a fault: each table's follower learns of an epoch by itself.
def test_a_call_that_is_held_across_epochs_is_detected(monkeypatch) -> None:
    monkeypatch.setattr(
        following.Follower, "begin_epoch", lambda self, epoch: None
    )
    (took_s,) = run((3, 3, 2)).leaving_s.values()
    assert took_s > judge.STRICTEST_S
