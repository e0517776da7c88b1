"""Which incarnation of a runner a connection is believed to lead to."""

import pytest

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import continuity
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.fleet.tests import test_registry

RUNNER = ids.EndpointId("r")
V1, V2 = ids.SoftwareVersion("v1"), ids.SoftwareVersion("v2")
LIFETIME_S = 5.0
# Unix seconds at monotonic second 0.
EPOCH_S = 1000.0


def at(seconds: float) -> signs.ConnectionTimes:
    return signs.ConnectionTimes(seconds, EPOCH_S + seconds)


def make_entry(version: str, started: float, name: str = "r"):
    return test_registry.make_runner(
        name,
        version=ids.SoftwareVersion(version),
        start=ids.RunnerStart(int((EPOCH_S + started) * 1000)),
    )


def make_known(version: str = "v1", started: float = -100.0):
    runners = registry.Registry()
    entry = make_entry(version, started)
    runners.put(entry)
    return runners, continuity.Continuity(runners, LIFETIME_S), entry


# Guards against believing the old version of a runner that has crashed behind a
# cut from the store and is back.
def test_a_connection_made_after_a_sign_leads_to_an_unknown_version() -> None:
    _, judged, entry = make_known()
    assert judged.find_version(entry, at(1.0)) == V1
    judged.record_closed(RUNNER, at(1.0), 2.0)
    assert not judged.is_certain(entry)
    assert judged.find_version(entry, at(2.5)) == continuity.UNKNOWN
    assert judged.find_version(entry, at(1.5)) == V1
    assert not judged.is_replaced(entry, at(2.5))


def test_the_entry_of_a_later_start_tells_who_wrote_what() -> None:
    runners, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.record_refused(RUNNER, 2.1, EPOCH_S + 2.1, reported=False)
    runners.put(make_entry("v2", 2.2))
    assert judged.is_certain(make_entry("v2", 2.2))
    assert judged.find_version(entry, at(2.5)) == V2
    assert judged.find_version(entry, at(1.5)) == V1


# Guards against cutting a stream that had begun just before its runner ended:
# its connection was made too shortly before the successor's start to tell.
def test_a_connection_made_just_before_an_end_leads_to_what_ended() -> None:
    runners, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.99), 2.0)
    judged.record_refused(RUNNER, 2.01, EPOCH_S + 2.01, reported=False)
    runners.put(make_entry("v2", 2.0 + signs.RESTART_S))
    assert judged.find_version(entry, at(1.99)) == V1


# Guards against taking a successor for what it follows, as its clock is behind
# or ahead of this host's.
@pytest.mark.parametrize("ahead_s", [-0.09, 0.09])
def test_a_successor_is_known_though_its_clock_differs(ahead_s) -> None:
    runners, judged, entry = make_known()
    started = 2.0 + signs.RESTART_S
    runners.put(make_entry("v2", started + ahead_s))
    assert judged.find_version(entry, at(started + 0.01)) != V1


# Guards against an incarnation that nobody has heard of: it ended before the
# one whose entry arrives.
def test_what_an_unlisted_incarnation_wrote_stays_unknown() -> None:
    runners, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.record_closed(RUNNER, at(2.5), 4.0)
    runners.put(make_entry("v2", 4.3))
    assert judged.find_version(entry, at(2.5)) == continuity.UNKNOWN
    assert judged.is_replaced(entry, at(2.5))
    assert judged.find_version(entry, at(1.5)) == V1


def test_a_sign_of_a_listed_start_is_not_explained_by_it() -> None:
    runners, judged, _ = make_known()
    later = make_entry("v2", 2.2)
    runners.put(later)
    judged.record_closed(RUNNER, at(3.0), 4.0)
    assert not judged.is_certain(later)
    assert judged.find_version(later, at(4.5)) == continuity.UNKNOWN


# Guards against a runner without streams for seconds because it spoiled one.
def test_data_on_an_older_connection_ends_the_doubt() -> None:
    _, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.record_data(RUNNER, at(1.0), 2.1)
    assert not judged.is_certain(entry)  # It may have been on its way.
    judged.record_data(RUNNER, at(2.1), 2.5)
    assert not judged.is_certain(entry)  # It may be a successor's.
    judged.record_data(RUNNER, at(1.0), 2.5)
    assert judged.is_certain(entry)
    assert judged.find_version(entry, at(2.1)) == V1


@pytest.mark.parametrize(
    ("made_at", "late", "certain"),
    [(2.01, False, True), (2.5, False, False), (2.01, True, False)],
)
def test_a_new_connection_proves_life_only_if_made_at_once(
    made_at, late, certain
) -> None:
    _, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0, is_late=late)
    judged.record_reached(RUNNER, made_at)
    assert judged.is_certain(entry) is certain


def test_a_connection_after_a_refusal_proves_nothing() -> None:
    _, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.record_refused(RUNNER, 2.0, EPOCH_S + 2.0, reported=False)
    judged.record_reached(RUNNER, 2.1)
    assert not judged.is_certain(entry)


def test_a_runner_that_names_its_start_has_lived_on() -> None:
    _, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.record_start(RUNNER, ids.RunnerStart(7), 3.0)
    assert not judged.is_certain(entry)
    judged.record_start(RUNNER, entry.start, 3.0)
    assert judged.is_certain(entry)


def test_an_entry_that_outlasts_its_time_ends_the_doubt() -> None:
    _, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.sweep(6.0, is_current=True)
    assert not judged.is_certain(entry)
    judged.sweep(7.0, is_current=True)
    assert judged.is_certain(entry)


# Guards against seconds of doubt about runners that name no start, once those
# that have crashed are listed again.
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_an_entry_that_is_listed_again_ends_the_doubt(version) -> None:
    runners = registry.Registry()
    judged = continuity.Continuity(runners, LIFETIME_S)
    entry = test_registry.make_runner("r", version=V1)
    runners.put(entry)
    judged.record_refused(RUNNER, 2.0, EPOCH_S + 2.0, reported=False)
    runners.remove(RUNNER, 4.0)
    assert judged.find_version(entry, at(3.0)) == continuity.UNKNOWN
    again = test_registry.make_runner("r", version=ids.SoftwareVersion(version))
    runners.put(again)
    assert judged.is_certain(again)
    assert judged.find_version(again, at(9.0)) == version


# Guards against counting the time in which nobody learns of removed entries.
def test_an_entry_that_may_be_outdated_does_not_end_the_doubt() -> None:
    _, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.sweep(6.0, is_current=False)
    judged.sweep(10.9, is_current=True)
    assert not judged.is_certain(entry)
    judged.sweep(11.1, is_current=True)
    assert judged.is_certain(entry)


# Guards against doubting all runners after a cut of this instance's own.
def test_what_a_cut_path_has_shown_is_forgotten() -> None:
    _, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    judged.forget_observed(ids.ServiceName("other"))
    assert not judged.is_certain(entry)
    judged.forget_observed(entry.service)
    assert judged.is_certain(entry)
    judged.record_refused(RUNNER, 3.0, EPOCH_S + 3.0, reported=True)
    judged.forget_observed(entry.service)
    assert not judged.is_certain(entry)


def test_many_signs_keep_the_oldest_doubt() -> None:
    _, judged, entry = make_known()
    for number in range(200):
        judged.record_closed(RUNNER, at(1.0), 2.0 + number * 0.1)
    assert judged.find_version(entry, at(2.05)) == continuity.UNKNOWN
    assert judged.find_version(entry, at(1.95)) == V1


# Guards against taking a start that the runner named itself for one of the
# version that its earlier entry tells.
def test_a_start_without_an_entry_has_no_known_version() -> None:
    runners, judged, entry = make_known()
    described = []
    runners.when_described(described.append)
    later = make_entry("v2", 2.2)
    runners.record_start(RUNNER, later.start)
    assert runners.find(RUNNER).version == ""
    assert not judged.is_certain(runners.find(RUNNER))
    assert judged.find_version(entry, at(2.5)) == continuity.UNKNOWN
    assert not judged.is_replaced(entry, at(2.5))
    runners.put(later)
    assert judged.is_certain(later)
    assert [each.version for each in described] == [V2]
    assert judged.find_version(entry, at(2.5)) == V2


# Guards against believing the entries of runners that ended before this
# instance started.
def test_nothing_is_certain_before_others_have_been_asked() -> None:
    runners, judged, entry = make_known()
    runners.put(make_entry("v1", -100.0, "other"))
    confirmed = []
    judged.when_confirmed(confirmed.append)
    judged.hold()
    assert not judged.is_certain(entry)
    assert judged.find_version(entry, at(1.0)) == continuity.UNKNOWN
    judged.record_told(RUNNER, signs.Doubt(EPOCH_S - 1.0), 2.0)
    judged.release()
    assert confirmed == ["other"]
    assert judged.is_certain(make_entry("v1", -100.0, "other"))
    assert not judged.is_certain(entry)
    assert judged.find_version(entry, at(1.0)) == continuity.UNKNOWN


# Guards against signs that become weaker on their way to another instance.
def test_a_doubt_that_is_told_ends_as_it_does_at_its_observer() -> None:
    _, observer, entry = make_known()
    observer.record_closed(RUNNER, at(1.0), 2.0)
    observer.record_refused(RUNNER, 2.4, EPOCH_S + 2.4, reported=False)
    observer.sweep(3.0, is_current=False)
    (told,) = observer.list_doubts(4.0)
    assert told[0] == RUNNER
    explained, told_runners = [], []
    for _ in range(2):
        runners, judged, _ = make_known()
        judged.record_told(*told, 4.0)
        told_runners.append(runners)
        explained.append(judged)
    told_runners[0].put(make_entry("v2", 1.2))
    assert not explained[0].is_certain(make_entry("v2", 1.2))
    told_runners[0].put(make_entry("v2", 2.2))
    assert explained[0].is_certain(make_entry("v2", 2.2))
    for judged in (observer, explained[1]):
        judged.sweep(7.9, is_current=True)
        assert not judged.is_certain(entry)
        judged.sweep(8.1, is_current=True)
        assert judged.is_certain(entry)


# Guards against an instance that reads an entry from before a restart which
# those that it asks know of already.
# Guards against a doubt of an instance that has just started too, which hasn't
# asked the runner yet.
@pytest.mark.parametrize(("age_s", "is_certain"), [(1.0, True), (0.1, False)])
def test_a_doubt_from_before_a_runner_named_its_start_is_ignored(
    age_s, is_certain
) -> None:
    _, judged, entry = make_known()
    judged.record_told(RUNNER, signs.Doubt(EPOCH_S, 1.0), 2.0)
    assert not judged.is_certain(entry)
    judged.record_start(RUNNER, entry.start, 2.1)
    assert judged.is_certain(entry)
    judged.record_told(RUNNER, signs.Doubt(EPOCH_S, age_s), 2.2)
    assert judged.is_certain(entry) is is_certain


def test_a_restart_is_told_though_its_entry_has_come() -> None:
    runners, judged, entry = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    runners.put(make_entry("v2", 2.2))
    assert judged.is_certain(make_entry("v2", 2.2))
    (told,) = judged.list_doubts(3.0)
    behind = make_known()[1]
    behind.record_told(*told, 3.0)
    assert not behind.is_certain(entry)


def test_a_start_without_an_entry_is_told() -> None:
    runners, judged, entry = make_known()
    later = make_entry("v2", 2.2)
    runners.record_start(RUNNER, later.start)
    (told,) = judged.list_doubts(3.0)
    behind_runners, behind, _ = make_known()
    behind.record_told(*told, 3.0)
    assert not behind.is_certain(entry)
    behind_runners.put(later)
    assert behind.is_certain(later)


def choose(judged, runners, **demand):
    chooser = choice.Chooser(
        runners, choice.random.Random(1), is_certain=judged.is_certain
    )
    profile = candidates.RequestProfile(ids.ServiceName("s"), **demand)
    found = [chooser.choose(profile, set(), 3.0) for _ in range(20)]
    return {
        each.runner.id if isinstance(each, outcomes.Grant) else each
        for each in found
    }


def test_streams_go_on_only_at_runners_of_a_certain_version() -> None:
    runners, judged, _ = make_known()
    judged.record_closed(RUNNER, at(1.0), 2.0)
    uncertain = outcomes.OtherVersions(uncertain=True)
    assert choose(judged, runners, version=V1) == {uncertain}
    runners.put(make_entry("v1", -100.0, "other"))
    assert choose(judged, runners, version=V1) == {"other"}


# Guards against streams that nobody can go on with, and against the load on the
# others if most runners are in doubt.
def test_new_streams_avoid_runners_in_doubt_unless_most_are() -> None:
    runners, judged, _ = make_known()
    runners.put(make_entry("v1", -100.0, "other"))
    judged.record_closed(RUNNER, at(1.0), 2.0)
    assert choose(judged, runners, resumable=True) == {"other"}
    assert choose(judged, runners) == {"r", "other"}
    for name in ("a", "b"):
        runners.put(make_entry("v1", -100.0, name))
        judged.record_closed(ids.EndpointId(name), at(1.0), 2.0)
    assert len(choose(judged, runners, resumable=True)) == 4
