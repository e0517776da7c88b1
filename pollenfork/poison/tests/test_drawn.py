"""No innocent is kept back for long, whatever ends the runners."""

import msgspec
import pytest

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import trials
from pollenfork.poison.tests import drawn
from pollenfork.poison.tests import fleet as fleets


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_an_innocent_is_served_again_soon_and_the_guilty_is_not(first) -> None:
    played = [drawn.play(first + number) for number in range(10)]
    assert [each for each in played if not each.holds] == []


def test_what_was_answered_before_is_tried_once_by_one_of_all() -> None:
    fleet = fleets.Fleet(instances=20, runners=9)
    fleet.repeat(drawn.POISON, 0.1, 4.0)
    fleet.run(2.0)
    fleet.poison.add(drawn.POISON)
    fleet.run(2.0)
    kept = fleet.count_ends(drawn.POISON)
    fleet.repeat(drawn.POISON, 0.02, 20.0)
    fleet.run(20.0)
    assert fleet.count_ends(drawn.POISON) == kept + 1
    assert fleet.count_late(drawn.POISON) <= 1


def test_a_trial_that_is_answered_lets_it_go_everywhere() -> None:
    fleet = fleets.Fleet(instances=20, runners=9)
    fleet.repeat(drawn.POISON, 0.1, 4.0)
    fleet.run(2.0)
    fleet.poison.add(drawn.POISON)
    fleet.run(2.0)
    fleet.poison.clear()
    begun = fleet.now
    fleet.repeat(drawn.POISON, 0.05, 6.0)
    fleet.run(6.0)
    assert max(fleet.kept_at[drawn.POISON]) < begun + trials.DELAYS_S[0] + 0.5


def test_what_was_never_answered_is_not_tried() -> None:
    case = crashes.CrashHistory(
        ids.RequestDigest(1),
        [crashes.Crash(1, 1.0, 1.1, 1)],
        quarantined_at=1.2,
    )
    assert trials.Trials().take_due(case, 100.0) is None


def test_two_trials_are_all_that_one_instance_asks_for() -> None:
    case = crashes.CrashHistory(
        ids.RequestDigest(1),
        [crashes.Crash(1, 1.0, 1.1, 1)],
        quarantined_at=1.2,
        answered=True,
    )
    made = trials.Trials()
    due = [made.take_due(case, 0.1 * tenth) for tenth in range(2000)]
    assert [each for each in due if each] == [1, 2]


# Guards against a text that waits for its second trial while runners end that
# do not run it, and against more trials than the promise leaves.
def test_trials_follow_each_other_sooner_where_runners_end_without_it() -> None:
    case = crashes.CrashHistory(
        ids.RequestDigest(1),
        [crashes.Crash(1, 1.0, 1.1, 1)],
        quarantined_at=1.2,
        answered=True,
    )
    made = trials.Trials()
    moments = [0.1 * tenth for tenth in range(2000)]
    due = [made.take_due(case, now, lambda: 2) for now in moments]
    found = {
        number: now for now, number in zip(moments, due, strict=True) if number
    }
    assert list(found) == [1, 2, 3]
    assert found[3] < case.crashes[0].crashed_at + trials.DELAYS_S[0]


def test_runners_that_left_as_planned_speak_for_no_request() -> None:
    fleet = fleets.Fleet(instances=1, runners=4)
    (one,) = fleet.instances
    for name, runner in list(fleet.runners.items())[:3]:
        one.runners.put(msgspec.structs.replace(runner, leaving=True))
        fleet.run(0.2)
        one.runners.drop(ids.EndpointId(name))
    assert one.quarantine._detector.list_crashed(0.0) == []


def test_a_request_tried_beside_other_ends_is_sent_three_times_at_most() -> (
    None
):
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.repeat(drawn.POISON, 0.1, 4.0)
    fleet.run(2.0)
    fleet.poison.add(drawn.POISON)
    fleet.run(2.0)
    kept = fleet.count_ends(drawn.POISON)
    for number in range(20):
        name = f"r{number % 9}"
        fleet.call_in(0.4 * number, lambda name=name: fleet.crash(name, 0.2))
    fleet.repeat(drawn.POISON, 0.02, 40.0)
    fleet.run(40.0)
    assert fleet.count_ends(drawn.POISON) <= kept + 3
    assert fleet.count_late(drawn.POISON) <= 3


# What was seen: a text that had been answered for five seconds was kept back
# for 13.7 s and more, though no request ends runners there. How it came about:
# both of two runners ended by themselves eleven times, 0.57 s apart, each time
# under the text; and so did the one that its first trial was at. Cause: the
# second trial comes 30 s after the last end. Proof: the drawn fleet itself. In
# the other one runners end ten times within 4.3 s, and the text is kept back
# twice before its trial, 5.4 s in all.
@pytest.mark.parametrize("seed", [100659, 100415])
def test_an_innocent_is_served_soon_though_runners_end_on_and_on(seed) -> None:
    assert drawn.play(seed).holds
