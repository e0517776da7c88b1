"""No harmless request is quarantined for long, whatever crashes runners."""

import msgspec
import pytest

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import trials
from pollenfork.poison.tests import drawn
from pollenfork.poison.tests import fleet as fleets


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_an_innocent_is_served_again_soon_and_the_guilty_is_not(
    first,
) -> None:
    results = [drawn.run_seed(first + number) for number in range(10)]
    assert [each for each in results if not each.passed] == []


def test_a_request_answered_before_is_tried_once_by_one_instance() -> None:
    fleet = fleets.Fleet(instances=20, runners=9)
    fleet.repeat(drawn.POISON, 0.1, 4.0)
    fleet.run(2.0)
    fleet.poison.add(drawn.POISON)
    fleet.run(2.0)
    crashed = fleet.count_crashes(drawn.POISON)
    fleet.repeat(drawn.POISON, 0.02, 20.0)
    fleet.run(20.0)
    assert fleet.count_crashes(drawn.POISON) == crashed + 1
    assert fleet.count_late(drawn.POISON) <= 1


def test_a_trial_that_is_answered_lets_it_go_everywhere() -> None:
    fleet = fleets.Fleet(instances=20, runners=9)
    fleet.repeat(drawn.POISON, 0.1, 4.0)
    fleet.run(2.0)
    fleet.poison.add(drawn.POISON)
    fleet.run(2.0)
    fleet.poison.clear()
    healed_at = fleet.now
    fleet.repeat(drawn.POISON, 0.05, 6.0)
    fleet.run(6.0)
    assert (
        max(fleet.held_at[drawn.POISON]) < healed_at + trials.DELAYS_S[0] + 0.5
    )


def test_a_request_that_was_never_answered_is_not_tried() -> None:
    history = crashes.CrashHistory(
        ids.RequestDigest(1),
        [crashes.Crash(1, 1.0, 1.1, 1)],
        quarantined_at=1.2,
    )
    assert trials.Trials().take_due(history, 100.0) is None


def test_an_instance_claims_two_trials_at_most() -> None:
    history = crashes.CrashHistory(
        ids.RequestDigest(1),
        [crashes.Crash(1, 1.0, 1.1, 1)],
        quarantined_at=1.2,
        answered=True,
    )
    claims = trials.Trials()
    due = [claims.take_due(history, 0.1 * tenth) for tenth in range(2000)]
    assert [each for each in due if each] == [1, 2]


# Guards against a request that waits for its second trial while runners crash
# without it, and against more trials than the limit on late sends allows.
def test_trials_follow_sooner_where_runners_crash_without_the_request() -> None:
    history = crashes.CrashHistory(
        ids.RequestDigest(1),
        [crashes.Crash(1, 1.0, 1.1, 1)],
        quarantined_at=1.2,
        answered=True,
    )
    claims = trials.Trials()
    moments = [0.1 * tenth for tenth in range(2000)]
    due = [claims.take_due(history, now, lambda: 2) for now in moments]
    found = {
        number: now for now, number in zip(moments, due, strict=True) if number
    }
    assert list(found) == [1, 2, 3]
    assert found[3] < history.crashes[0].crashed_at + trials.DELAYS_S[0]


def test_drained_runners_count_as_no_unrelated_crash() -> None:
    fleet = fleets.Fleet(instances=1, runners=4)
    (one,) = fleet.instances
    for name, runner in list(fleet.runners.items())[:3]:
        one.runners.put(msgspec.structs.replace(runner, leaving=True))
        fleet.run(0.2)
        one.runners.drop(ids.EndpointId(name))
    assert one.quarantine._detector.list_crashed(0.0) == []


def test_a_request_tried_amid_other_crashes_is_sent_three_times_at_most() -> (
    None
):
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.repeat(drawn.POISON, 0.1, 4.0)
    fleet.run(2.0)
    fleet.poison.add(drawn.POISON)
    fleet.run(2.0)
    crashed = fleet.count_crashes(drawn.POISON)
    for number in range(20):
        name = f"r{number % 9}"
        fleet.call_in(0.4 * number, lambda name=name: fleet.crash(name, 0.2))
    fleet.repeat(drawn.POISON, 0.02, 40.0)
    fleet.run(40.0)
    assert fleet.count_crashes(drawn.POISON) <= crashed + 3
    assert fleet.count_late(drawn.POISON) <= 3


# Guards against a harmless request being quarantined for 13.7 s and more. With
# the first seed it had been answered for five seconds when both runners began
# to crash by themselves, eleven times 0.57 s apart, always with the request in
# flight, its first trial included; the second trial came only 30 s after the
# last crash. With the other seed runners crash ten times within 4.3 s, and the
# request was quarantined twice before its trial, 5.4 s in all.
@pytest.mark.parametrize("seed", [100659, 100415])
def test_a_harmless_request_is_served_soon_though_runners_keep_crashing(
    seed,
) -> None:
    assert drawn.run_seed(seed).passed
