"""What runners keep is believed as they say it, not as it was once placed.

The pattern: runners whose memory turns over within seconds, as each request
leaves a long part of its own behind, and instances that start all at once.
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

RUNNER = ids.EndpointId("r0")
MARK = loads.hash_name(b"r0")
PARTS = (model.Part(b"a", 2500), model.Part(b"b", 3800))
SHARED = (b"a", b"b")


def make_news(*told: tuple[bytes, bool], **given) -> messages.CacheNews:
    changes = tuple(messages.CacheChange(part, kept) for part, kept in told)
    return messages.CacheNews(changes, through=9, **given)


def make_chooser(*kept: bytes) -> choice.Chooser:
    chooser = test_choice.make_chooser()
    for part in kept:
        chooser.caches.note(MARK, loads.hash_name(part))
    return chooser


def count_unread(chooser: choice.Chooser) -> int:
    return chooser.caches.count_unread(MARK, PARTS)


def test_a_part_that_was_pushed_out_is_read_again() -> None:
    chooser = make_chooser(*SHARED)
    assert count_unread(chooser) == 0
    assert chooser.take_news(RUNNER, make_news((b"b", False))) == 1
    assert count_unread(chooser) == 3800
    assert chooser.take_placements() == [
        loads.Placement(loads.hash_name(b"b"), MARK, kept=False)
    ]


def test_what_is_believed_already_is_told_to_nobody() -> None:
    chooser = make_chooser(*SHARED)
    assert chooser.take_news(RUNNER, make_news((b"a", True))) == 0
    assert chooser.take_news(RUNNER, make_news((b"never", False))) == 0
    assert chooser.take_placements() == []


def test_a_part_of_one_request_alone_is_told_to_nobody() -> None:
    chooser = make_chooser(*SHARED)
    assert chooser.take_news(RUNNER, make_news((b"own", True))) == 0
    assert chooser.take_placements() == []


def test_a_late_loss_of_a_part_read_again_since_is_corrected() -> None:
    chooser = make_chooser(*SHARED)
    chooser.take_news(RUNNER, make_news((b"b", False)))
    chooser.take_news(RUNNER, make_news((b"b", True)))
    assert count_unread(chooser) == 0


def test_a_correction_is_told_however_many_parts_are_shared() -> None:
    # 45 runners had requests before them that share 3,500 parts.
    chooser = make_chooser(*SHARED)
    chooser.take_news(RUNNER, make_news((b"b", False)))
    for number in range(3500):
        other = loads.hash_name(b"other %d" % (number % 9))
        chooser.caches.note(other, loads.hash_name(b"%d" % number))
    assert chooser.take_news(RUNNER, make_news((b"b", True))) == 1
    assert count_unread(chooser) == 0


def test_who_has_just_started_takes_all_that_is_kept() -> None:
    chooser = make_chooser()
    told = make_news((b"a", True), (b"b", True), whole=True)
    assert chooser.take_news(RUNNER, told) == 2
    assert count_unread(chooser) == 0


def test_a_whole_list_ends_belief_in_what_it_lacks() -> None:
    chooser = make_chooser(*SHARED)
    chooser.take_news(RUNNER, make_news((b"a", True), whole=True))
    assert count_unread(chooser) == 3800


@given(
    told=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(SHARED), strategies.booleans()
        )
    )
)
def test_after_any_news_the_last_word_on_each_part_holds(told) -> None:
    chooser = make_chooser(*SHARED)
    for part, kept in told:
        chooser.take_news(RUNNER, make_news((part, kept)))
    last = {**dict.fromkeys(SHARED, True), **dict(told)}
    for part in PARTS:
        unread = chooser.caches.count_unread(MARK, (part,))
        assert unread == (0 if last[part.name] else part.tokens)


def test_news_of_a_runner_that_is_gone_is_left_out() -> None:
    runners = registry.Registry()
    chooser = choice.Chooser(runners, random.Random(1))
    told = make_news((b"a", True), whole=True)
    assert chooser.take_news(RUNNER, told) == 0
    assert chooser.caches.list_kept() == []


def test_beliefs_about_runners_that_nobody_knows_end() -> None:
    chooser = make_chooser(*SHARED)
    gone = loads.hash_name(b"gone")
    chooser.sweep()
    chooser.caches.take([loads.Placement(1, gone)])
    # A placement may be told before this instance knows of the runner.
    chooser.sweep()
    assert gone in {each.runner for each in chooser.caches.list_kept()}
    chooser.sweep()
    assert {each.runner for each in chooser.caches.list_kept()} == {MARK}


def test_others_that_are_told_believe_the_same() -> None:
    here, there = make_chooser(*SHARED), make_chooser(*SHARED)
    here.take_news(RUNNER, make_news((b"a", False)))
    there.caches.take(here.take_placements())
    assert count_unread(there) == 6300
