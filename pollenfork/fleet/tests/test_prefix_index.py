"""Runners' cache reports take precedence over earlier placements.

Guards against stale beliefs about runners whose caches turn over within seconds
because each request adds a long part of its own, and about runners that served
requests before all instances restarted.
"""

import random

from hypothesis import given
from hypothesis import strategies

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet.tests import test_choice
from pollenfork.loads import messages as loads

RUNNER = model.Incarnation(ids.EndpointId("r0"))
RUNNER_HASH = loads.hash_name(b"r0")
PARTS = (model.Part(b"a", 2500), model.Part(b"b", 3800))
SHARED = (b"a", b"b")


def make_report(*changes: tuple[bytes, bool], **given) -> messages.CacheReport:
    made = tuple(messages.CacheChange(part, kept) for part, kept in changes)
    return messages.CacheReport(made, last_sequence=9, **given)


def make_chooser(*cached: bytes) -> choice.Chooser:
    chooser = test_choice.make_chooser()
    for part in cached:
        chooser.caches.add(RUNNER_HASH, loads.hash_name(part))
    return chooser


def count_uncached(chooser: choice.Chooser) -> int:
    return chooser.caches.count_uncached(RUNNER_HASH, PARTS)


def test_an_evicted_part_counts_as_uncached() -> None:
    chooser = make_chooser(*SHARED)
    assert count_uncached(chooser) == 0
    assert chooser.apply_cache_report(RUNNER, make_report((b"b", False))) == 1
    assert count_uncached(chooser) == 3800
    assert chooser.take_placements() == [
        loads.Placement(loads.hash_name(b"b"), RUNNER_HASH, kept=False)
    ]


def test_a_report_without_new_information_is_not_shared() -> None:
    chooser = make_chooser(*SHARED)
    assert chooser.apply_cache_report(RUNNER, make_report((b"a", True))) == 0
    assert (
        chooser.apply_cache_report(RUNNER, make_report((b"never", False))) == 0
    )
    assert chooser.take_placements() == []


def test_a_part_of_a_single_request_is_not_shared() -> None:
    chooser = make_chooser(*SHARED)
    assert chooser.apply_cache_report(RUNNER, make_report((b"own", True))) == 0
    assert chooser.take_placements() == []


def test_an_eviction_reported_late_is_corrected_by_the_next_report() -> None:
    chooser = make_chooser(*SHARED)
    chooser.apply_cache_report(RUNNER, make_report((b"b", False)))
    chooser.apply_cache_report(RUNNER, make_report((b"b", True)))
    assert count_uncached(chooser) == 0


def test_a_correction_is_shared_however_many_parts_are_known() -> None:
    # The requests to 45 runners shared 3,500 parts.
    chooser = make_chooser(*SHARED)
    chooser.apply_cache_report(RUNNER, make_report((b"b", False)))
    for number in range(3500):
        other = loads.hash_name(b"other %d" % (number % 9))
        chooser.caches.add(other, loads.hash_name(b"%d" % number))
    assert chooser.apply_cache_report(RUNNER, make_report((b"b", True))) == 1
    assert count_uncached(chooser) == 0


def test_a_new_instance_accepts_a_complete_report() -> None:
    chooser = make_chooser()
    report = make_report((b"a", True), (b"b", True), complete=True)
    assert chooser.apply_cache_report(RUNNER, report) == 2
    assert count_uncached(chooser) == 0


def test_a_complete_report_removes_the_parts_it_lacks() -> None:
    chooser = make_chooser(*SHARED)
    chooser.apply_cache_report(RUNNER, make_report((b"a", True), complete=True))
    assert count_uncached(chooser) == 3800


@given(
    changes=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(SHARED), strategies.booleans()
        )
    )
)
def test_the_last_report_of_each_part_holds(changes) -> None:
    chooser = make_chooser(*SHARED)
    for part, kept in changes:
        chooser.apply_cache_report(RUNNER, make_report((part, kept)))
    last = {**dict.fromkeys(SHARED, True), **dict(changes)}
    for part in PARTS:
        uncached = chooser.caches.count_uncached(RUNNER_HASH, (part,))
        assert uncached == (0 if last[part.name] else part.tokens)


# Guards against comparing all changes of a report with what was believed before
# it: a part that was added and evicted in one report counted as cached, and one
# that was evicted and added again as uncached.
@given(
    cached=strategies.booleans(),
    changes=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(SHARED), strategies.booleans()
        )
    ),
)
def test_the_last_change_of_each_part_within_a_report_holds(
    cached, changes
) -> None:
    chooser = make_chooser(*SHARED)
    if not cached:
        chooser.apply_cache_report(
            RUNNER, make_report((b"a", False), (b"b", False))
        )
        chooser.take_placements()
    chooser.apply_cache_report(RUNNER, make_report(*changes))
    last = {**dict.fromkeys(SHARED, cached), **dict(changes)}
    for part in PARTS:
        uncached = chooser.caches.count_uncached(RUNNER_HASH, (part,))
        assert uncached == (0 if last[part.name] else part.tokens)
    # Other instances are told each part's last state only.
    placed = chooser.take_placements()
    assert {each.part: each.kept for each in placed} == {
        loads.hash_name(part): kept
        for part, kept in last.items()
        if kept is not cached
    }
    assert len({each.part for each in placed}) == len(placed)


def test_a_report_of_a_runner_that_is_gone_is_ignored() -> None:
    runners = registry.Registry()
    chooser = choice.Chooser(runners, random.Random(1))
    report = make_report((b"a", True), complete=True)
    assert chooser.apply_cache_report(RUNNER, report) == 0
    assert chooser.caches.list_cached() == []


def test_placements_on_unknown_runners_are_forgotten() -> None:
    chooser = make_chooser(*SHARED)
    gone = loads.hash_name(b"gone")
    chooser.sweep()
    chooser.caches.apply([loads.Placement(1, gone)])
    # A placement may arrive before this instance learns of the runner.
    chooser.sweep()
    assert gone in {each.runner for each in chooser.caches.list_cached()}
    chooser.sweep()
    assert {each.runner for each in chooser.caches.list_cached()} == {
        RUNNER_HASH
    }


def test_shared_changes_give_another_instance_the_same_view() -> None:
    here, there = make_chooser(*SHARED), make_chooser(*SHARED)
    here.apply_cache_report(RUNNER, make_report((b"a", False)))
    there.caches.apply(here.take_placements())
    assert count_uncached(there) == 6300
