"""Counts come together whole, whatever is lost, repeated or late."""

import random

from pollenfork import ids
from pollenfork.duties import tallies
from pollenfork.loads import messages as loads

ACCOUNT = ids.AccountId("a")
WINDOWS = tallies.Windows(5.0, 4)


def test_a_window_holds_what_began_in_it() -> None:
    counted = tallies.Tallies(WINDOWS)
    for moment in (100.0, 104.999, 105.0):
        counted.note(ACCOUNT, moment)
    assert counted.list_all() == (
        loads.WindowCounts(20, {ACCOUNT: 2}),
        loads.WindowCounts(21, {ACCOUNT: 1}),
    )


def test_what_a_holder_has_isnt_told_again_and_another_one_is_told_all() -> (
    None
):
    counted = tallies.Tallies(WINDOWS)
    counted.note(ACCOUNT, 100.0)
    told = counted.list_untold("one")
    assert told
    counted.note_told(told, "one", 1)
    assert counted.list_untold("one") == ()
    counted.note(ACCOUNT, 101.0)
    assert [each.window for each in counted.list_untold("one")] == [20]
    assert [each.window for each in counted.list_untold("two")] == [20]


def test_a_holder_that_started_anew_is_told_all_again() -> None:
    counted = tallies.Tallies(WINDOWS)
    counted.note(ACCOUNT, 100.0)
    counted.note(ACCOUNT, 105.0)
    told = counted.list_untold("one")
    counted.note_told(told, "one", 1)
    counted.note(ACCOUNT, 106.0)
    later = counted.list_untold("one")
    assert [each.window for each in later] == [21]
    counted.note_told(later, "one", 2)
    assert [each.window for each in counted.list_untold("one")] == [20]


def test_sums_are_exact_whatever_is_lost_or_comes_twice_or_late() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        ledger = tallies.Ledger(WINDOWS)
        senders = {f"h{n}": tallies.Tallies(WINDOWS) for n in range(5)}
        began = 0
        under_way = []
        for tick in range(100):
            now = 100.0 + tick * 0.1
            for host, counted in senders.items():
                if rng.random() < 0.7:
                    counted.note(ACCOUNT, now)
                    began += now < 105.0
                under_way.append((host, counted.list_untold("holder"), now))
            rng.shuffle(under_way)
            for host, told, through in under_way[: rng.randint(0, 6)]:
                ledger.take(host, 1, told, through, now)
        for host, counted in senders.items():
            ledger.take(host, 1, counted.list_all(), 110.0, 110.0)
        assert ledger.add_up(20) == {ACCOUNT: began}
        assert ledger.list_missing(20, 110.0) == []


def test_two_starts_of_an_instance_are_both_counted() -> None:
    ledger = tallies.Ledger(WINDOWS)
    told = (loads.WindowCounts(20, {ACCOUNT: 3}),)
    ledger.take("h", 1, told, 101.0, 1.0)
    ledger.take("h", 2, told, 104.0, 4.0)
    assert ledger.add_up(20) == {ACCOUNT: 6}


def test_who_hasnt_told_to_the_end_is_missing_while_it_may_tell() -> None:
    ledger = tallies.Ledger(WINDOWS)
    ledger.take("h", 1, (), 104.9, 1.0)
    assert ledger.list_missing(20, 2.0) == ["h"]
    ledger.take("h", 1, (), 105.1, 2.0)
    assert ledger.list_missing(20, 2.0) == []


def test_old_windows_and_silent_instances_take_no_memory() -> None:
    ledger = tallies.Ledger(WINDOWS)
    counted = tallies.Tallies(WINDOWS)
    for second in range(1000):
        counted.note(ACCOUNT, second)
        counted.forget(second)
        ledger.take(f"h{second}", 1, counted.list_all(), second, second)
        ledger.forget(second, second)
    assert len(counted.list_all()) <= 6
    assert len(ledger._tellers) <= 25
