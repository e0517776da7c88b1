"""Rows whose content has an order of its own are ordered by it."""

import random

from hypothesis import stateful
from hypothesis import strategies

from pollenfork import versions
from pollenfork.catalogue import known_rows
from pollenfork.catalogue import messages
from pollenfork.catalogue import table_copy
from pollenfork.catalogue import watch

Row = messages.Row


def read_rank(row: Row) -> int | None:
    return int(row.value) if row.value.isdigit() else None


def make_known(*rows: Row, removable: bool = False) -> known_rows.KnownRows:
    known = known_rows.KnownRows(read_rank, removable)
    known.take(rows)
    return known


def make_watch() -> watch.Watch:
    return watch.Watch(random.Random(1), 1.0, make_known())


def make_rows(epoch: int, version: int, *rows: tuple[int, int]):
    """Returns the configuration's rows as pairs of row and rank."""
    return messages.Rows(
        tuple(
            Row("c", b"%d" % rank, versions.combine(epoch, number))
            for number, rank in rows
        ),
        versions.combine(epoch, version),
    )


def read(watched: watch.Watch, rows: messages.Rows) -> messages.Changes:
    return watched.take_rows(watched.next_call(), rows)


def test_a_newer_row_of_lower_rank_is_superseded() -> None:
    known = make_known(Row("c", b"4", 15))
    older = Row("c", b"3", 16)
    assert known.take([older]) == ((), (older,))
    assert known.take([Row("c", b"4", 15)]) == ((), ())


def test_a_row_of_higher_rank_is_newer_whatever_its_version() -> None:
    known = make_known(Row("c", b"3", 16))
    newer = Row("c", b"4", 15)
    assert known.select_higher_ranked([newer]) == (newer,)
    assert known.take([newer]).newer == (newer,)


def test_the_same_rank_in_a_newer_row_is_a_change() -> None:
    known = make_known(Row("c", b"4", 15))
    again = Row("c", b"4", 18)
    assert known.take([again]).newer == (again,)


# Guards against keeping an older configuration because its row was numbered
# as the newer one's is: seed 50371 of the simulation.
def test_a_row_of_higher_rank_and_the_same_version_is_newer() -> None:
    known = make_known(Row("c", b"2", 21))
    newer = Row("c", b"3", 21)
    assert known.take([newer]).newer == (newer,)


def test_a_row_with_a_rank_survives_its_removal() -> None:
    known = make_known(Row("c", b"4", 15))
    assert known.take([Row("c", b"", 16, removed=True)]) == ((), ())
    assert known.take([Row("c", b"3", 17)]).newer == ()


# Guards against reviving an earlier incarnation of a runner that has left.
def test_a_removable_row_is_removed_and_its_rank_remembered() -> None:
    known = make_known(Row("r", b"200", 5), removable=True)
    gone = Row("r", b"", 6, removed=True)
    assert known.take([gone]).newer == (gone,)
    earlier, later = Row("r", b"100", 7), Row("r", b"300", 8)
    assert known.take([earlier]) == ((), (earlier,))
    assert known.take([later]).newer == (later,)


def test_a_removable_row_of_an_older_table_may_have_been_removed() -> None:
    known = make_known(Row("q", b"200", 5), removable=True)
    assert known.select_higher_ranked([Row("r", b"200", 4)]) == ()


def test_rows_without_rank_are_ordered_by_version_and_removed() -> None:
    known = make_known(Row("a", b"x", 5))
    assert known.take([Row("a", b"y", 4)]) == ((), ())
    gone = Row("a", b"", 6, removed=True)
    assert known.take([gone]).newer == (gone,)
    assert known.is_empty


# A build that can't read a newer configuration still hands it on to those that
# can.
def test_a_row_whose_rank_cannot_be_read_is_handed_on() -> None:
    known = make_known(Row("c", b"4", 15))
    unreadable = Row("c", b"?", 16)
    assert known.take([unreadable]).newer == (unreadable,)
    assert known.take([Row("c", b"3", 17)]).newer == ()


# Guards against handing on a row that was refused here.
def test_a_copy_keeps_what_a_newer_row_would_revert() -> None:
    watched, copy = make_watch(), table_copy.TableCopy()
    copy.apply(read(watched, make_rows(1, 15, (15, 4))))
    copy.apply(read(watched, make_rows(1, 16, (16, 3))))
    handed = table_copy.decode(copy.encode()).unwrap()
    assert [row.value for row in handed.rows] == [b"4"]
    assert handed.version == versions.combine(1, 16)


def test_a_row_that_outlived_its_epoch_is_no_change_of_the_next() -> None:
    watched, copy = make_watch(), table_copy.TableCopy()
    copy.apply(read(watched, make_rows(1, 90, (90, 4))))
    assert read(watched, make_rows(2, 14)) is None
    copy.apply(read(watched, make_rows(2, 14, (2, 1))))
    handed = table_copy.decode(copy.encode()).unwrap()
    assert [(row.value, row.version) for row in handed.rows] == [
        (b"4", versions.combine(2, 0))
    ]
    assert handed.last_change == versions.combine(2, 14)


def test_a_copy_that_was_sent_before_is_numbered_by_the_next_epoch() -> None:
    copy = table_copy.TableCopy()
    row = Row("c", b"4", versions.combine(1, 2))
    copy.apply(messages.Changes((row,), versions.combine(1, 2)))
    copy.encode()
    copy.apply(messages.Changes((), versions.combine(2, 2)))
    handed = table_copy.decode(copy.encode()).unwrap()
    assert [row.version for row in handed.rows] == [versions.combine(2, 0)]


def test_an_older_table_gives_what_it_has_of_higher_rank() -> None:
    watched = make_watch()
    read(watched, make_rows(2, 30, (20, 3)))
    assert watched.take_table(make_rows(2, 25, (20, 3))) is None
    changes = watched.take_table(make_rows(1, 90, (90, 4)))
    assert [row.value for row in changes.rows] == [b"4"]
    assert changes.through == versions.combine(2, 30)
    assert watched.next_call().after == versions.combine(2, 30)


class RankMachine(stateful.RuleBasedStateMachine):
    """Two instances read a store, restored at times, and one another."""

    def __init__(self) -> None:
        super().__init__()
        self.epoch, self.version, self.rank = 1, 1, 1
        self.watches = [make_watch(), make_watch()]
        self.copies = [table_copy.TableCopy(), table_copy.TableCopy()]
        self.seen = [0, 0]

    def _read_store(self) -> messages.Rows:
        return make_rows(self.epoch, self.version, (self.version, self.rank))

    def _apply(self, index: int, changes: messages.Changes | None) -> None:
        if changes is None:
            return
        self.copies[index].apply(changes)
        ranks = [read_rank(row) or 0 for row in changes.rows]
        assert ranks == [] or min(ranks) >= self.seen[index]
        self.seen[index] = max([self.seen[index], *ranks])

    @stateful.rule(rank=strategies.integers(1, 9))
    def write(self, rank: int) -> None:
        self.version += 1
        self.rank = rank

    @stateful.rule(rank=strategies.integers(1, 9))
    def restore(self, rank: int) -> None:
        self.epoch += 1
        self.version = max(1, self.version - 3)
        self.rank = rank

    @stateful.rule(index=strategies.sampled_from((0, 1)))
    def poll(self, index: int) -> None:
        rows = self._read_store()
        for _ in range(2):  # The first answer of an epoch restarts the read.
            call = self.watches[index].next_call()
            self._apply(index, self.watches[index].take_rows(call, rows))

    @stateful.rule(index=strategies.sampled_from((0, 1)))
    def ask_the_other(self, index: int) -> None:
        table = table_copy.decode(self.copies[1 - index].encode()).unwrap()
        self._apply(index, self.watches[index].take_table(table))
        assert self.seen[index] >= self.seen[1 - index]

    @stateful.invariant()
    def copies_hold_the_highest_rank_seen(self) -> None:
        for copy, rank in zip(self.copies, self.seen, strict=True):
            rows = table_copy.decode(copy.encode()).unwrap().rows
            assert [read_rank(row) for row in rows] == [rank][: len(rows)]


TestRanks = RankMachine.TestCase
