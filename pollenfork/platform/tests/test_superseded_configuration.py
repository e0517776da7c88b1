"""A newer row of the store holds an older version of the configuration.

Instances that have a newer version in force keep it, and so must those that
follow them, start later or return from a partition.
"""

import logging

import pytest

from pollenfork.platform.tests.simulation import judge
from pollenfork.platform.tests.simulation import play
from pollenfork.platform.tests.simulation import schedules

Step = schedules.Step

_SIZES = (2, 2, 2)
_HOSTS = tuple(
    f"10.{centre}.0.{number}" for centre in (1, 2, 3) for number in (1, 2)
)
# A relay, the instance that reports to it, and a whole data centre.
_ABSENT = (("10.1.0.1",), ("10.1.0.2",), ("10.2.0.1",), _HOSTS[:2])


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def run(*steps: Step, sizes: tuple[int, ...] = _SIZES) -> judge.Outcome:
    ordered = tuple(sorted(steps, key=lambda step: step.at))
    return play.run(schedules.Schedule(sizes, ordered), seed=1)


def expect_all(outcome: judge.Outcome, version: int) -> None:
    assert outcome.broken == []
    assert outcome.versions == dict.fromkeys(_HOSTS, version)


# Guards against a relay that refuses an older version for itself, but hands
# the row on to the instances that follow it.
def test_followers_get_what_is_in_force_at_their_relay() -> None:
    outcome = run(Step(6.0, "configure"), Step(6.0, "revert"))
    expect_all(outcome, 2)


# The same after a restoration, where the store holds an older version until the
# operator writes again.
def test_followers_keep_what_a_restored_store_lacks() -> None:
    outcome = run(
        Step(5.0, "copy"), Step(6.0, "configure"), Step(8.0, "restore")
    )
    expect_all(outcome, 2)


# Guards against an instance that believes the store although others know more.
@pytest.mark.parametrize("hosts", _ABSENT)
def test_an_instance_that_starts_later_gets_the_newest(hosts) -> None:
    outcome = run(
        Step(6.0, "configure"),
        Step(7.0, "revert"),
        Step(8.0, "kill", hosts),
        Step(9.0, "start", hosts),
    )
    expect_all(outcome, 2)


@pytest.mark.parametrize("hosts", _ABSENT)
def test_an_instance_that_was_cut_off_gets_the_newest(hosts) -> None:
    outcome = run(
        Step(5.5, "cut", hosts),
        Step(6.0, "configure"),
        Step(7.0, "revert"),
        Step(9.0, "heal", hosts),
    )
    expect_all(outcome, 2)


@pytest.mark.parametrize("hosts", _ABSENT)
def test_an_instance_that_starts_during_a_drill_gets_the_newest(hosts) -> None:
    outcome = run(
        Step(5.0, "copy"),
        Step(6.0, "configure"),
        Step(8.0, "restore"),
        Step(8.5, "kill", hosts),
        Step(9.5, "start", hosts),
    )
    expect_all(outcome, 2)


# Instances that are cut off with the newest version bring it back, though the
# others have read a later epoch meanwhile.
def test_a_version_that_survives_only_behind_a_cut_is_kept() -> None:
    hosts = ("10.3.0.1", "10.3.0.2")
    outcome = run(
        Step(5.0, "copy"),
        Step(6.0, "configure"),
        Step(6.5, "cut", hosts),
        Step(6.5, "kill", _HOSTS[:4]),
        Step(7.5, "restore"),
        Step(8.5, "start", _HOSTS[:4]),
        Step(10.0, "heal", hosts),
    )
    expect_all(outcome, 2)


# Where there is one data centre only, gossip alone reaches a relay that starts.
@pytest.mark.parametrize("host", ["10.1.0.1", "10.1.0.2"])
def test_an_instance_of_the_only_data_centre_gets_the_newest(host) -> None:
    outcome = run(
        Step(6.0, "configure"),
        Step(7.0, "revert"),
        Step(8.0, "kill", (host,)),
        Step(9.0, "start", (host,)),
        sizes=(6,),
    )
    assert outcome.broken == []
    assert set(outcome.versions.values()) == {2}


# Guards against waiting for good for a version that nobody has any more.
def test_a_version_that_nobody_remembers_is_gone() -> None:
    outcome = run(
        Step(5.0, "copy"),
        Step(6.0, "configure"),
        Step(7.0, "kill", _HOSTS),
        Step(8.0, "restore"),
        Step(9.0, "start", _HOSTS),
    )
    expect_all(outcome, 1)
    assert outcome.stale_s == 0.0
