import random

from hypothesis import stateful
from hypothesis import strategies
import msgspec

from pollenfork import versions
from pollenfork.catalogue import messages
from pollenfork.catalogue import watch

Row = messages.Row
Rows = messages.Rows


def make_watch() -> watch.Watch:
    return watch.Watch(random.Random(1), wait_s=2.0)


def answer(watched: watch.Watch, *rows: Row, version: int, more=False):
    call = watched.next_call()
    return watched.take_rows(call, Rows(rows, version, more))


def test_the_table_is_read_in_full_before_waiting_for_changes() -> None:
    watched = make_watch()
    assert watched.next_call().after is None
    changes = answer(watched, Row("a", b"1", 3), version=5)
    assert [row.key for row in changes.rows] == ["a"]
    call = watched.next_call()
    assert (call.after, call.wait_s) == (5, 2.0)


def test_the_next_page_starts_after_the_last_key() -> None:
    watched = make_watch()
    assert answer(watched, Row("a", b"", 1), version=5, more=True) is None
    assert watched.next_call().start == "a\0"
    changes = answer(watched, Row("b", b"", 6), version=7)
    assert [row.key for row in changes.rows] == ["a", "b"]
    # Changes between the pages are requested again.
    assert watched.next_call().after == 5


def test_rows_never_revert_to_older_versions() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"new", 9), version=5)
    changes = answer(watched, Row("a", b"old", 8), version=9)
    assert changes.rows == ()


def test_a_read_after_lost_history_reports_removed_rows() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"", 1), Row("b", b"", 2), version=2)
    assert watched.record_failure(messages.ReadFailure.HISTORY_GONE) == 0.0
    assert not watched.failing
    assert watched.next_call().after is None
    changes = answer(watched, Row("b", b"", 2), version=8)
    assert [(row.key, row.removed) for row in changes.rows] == [("a", True)]


def test_after_a_failure_the_next_call_does_not_wait() -> None:
    watched = make_watch()
    answer(watched, version=5)
    first = watched.record_failure(messages.ReadFailure.NO_ANSWER)
    assert 0 < first < 0.2
    assert watched.next_call().wait_s == 0.0
    assert watched.next_call().after == 5
    pauses = [
        watched.record_failure(messages.ReadFailure.REFUSED) for _ in range(20)
    ]
    assert 0.4 < max(pauses) <= 0.8
    answer(watched, version=6)
    assert not watched.failing
    assert watched.next_call().wait_s == 2.0


def test_a_rejected_read_continues_at_its_page() -> None:
    watched = make_watch()
    assert answer(watched, Row("a", b"1", 3), version=5, more=True) is None
    for failure in (
        messages.ReadFailure.REFUSED,
        messages.ReadFailure.NO_ANSWER,
    ):
        watched.record_failure(failure)
        assert watched.next_call().start == "a\0"
    changes = answer(watched, Row("b", b"2", 7), version=8)
    assert [row.key for row in changes.rows] == ["a", "b"]
    # Changes since the first page are still requested.
    assert watched.next_call().after == changes.through == 5


def test_an_unreadable_page_restarts_the_read() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"1", 3), version=5, more=True)
    watched.record_failure(messages.ReadFailure.UNREADABLE)
    assert watched.next_call().start == ""


def read_again_after_two_rows() -> watch.Watch:
    watched = make_watch()
    answer(watched, Row("a", b"", 1), Row("b", b"", 2), version=2)
    watched.record_failure(messages.ReadFailure.HISTORY_GONE)
    return watched


# Guards against rows that are removed because a page lacks them that says that
# others follow.
def test_an_empty_page_with_more_is_not_the_end() -> None:
    watched = read_again_after_two_rows()
    assert watched.is_misplaced(watched.next_call(), Rows((), 3, True))
    assert answer(watched, version=3, more=True) is None


# Guards against a read that never ends and keeps all its pages.
def test_a_page_that_goes_back_is_not_kept() -> None:
    watched = read_again_after_two_rows()
    rows = Row("a", b"", 1), Row("b", b"", 2)
    for _ in range(1000):
        answer(watched, *rows, version=3, more=True)
    assert len(watched._pages) <= 2


# Guards against rows that count as removed because the pages overlap.
def test_a_page_with_keys_before_its_start_is_refused() -> None:
    watched = read_again_after_two_rows()
    answer(watched, Row("a", b"", 1), Row("c", b"", 3), version=3, more=True)
    assert answer(watched, Row("b", b"", 2), version=3) is None
    assert watched.next_call().start == ""


# Guards against a next page that leaves out what follows a smaller last key.
def test_a_page_whose_keys_do_not_ascend_is_refused() -> None:
    for keys in ("ba", "aa"):
        watched = read_again_after_two_rows()
        rows = [Row(key, b"", 3) for key in keys]
        assert answer(watched, *rows, version=3) is None


def test_an_answer_older_than_what_is_known_is_stale() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"", 4), version=9)
    assert watched.is_stale(Rows((), 8))
    assert not watched.is_stale(Rows((), 9))
    # Lost history doesn't make older answers acceptable.
    watched.record_failure(messages.ReadFailure.HISTORY_GONE)
    assert watched.is_stale(Rows((Row("b", b"", 3),), 8))
    assert watched.take_table(Rows((Row("b", b"", 3),), 9)) is None
    assert watched.take_table(Rows((Row("b", b"", 10),), 10)) is not None


def test_a_page_older_than_the_first_is_stale() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"", 1), version=5, more=True)
    assert watched.is_stale(Rows((Row("b", b"", 3),), 4))


class StoreMachine(stateful.RuleBasedStateMachine):
    """A store that changes, loses history and fails, and its watch."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[str, Row] = {}
        self.history: list[Row] = []
        self.lost_version = 0
        self.watched = make_watch()
        self.seen: dict[str, Row] = {}
        self.copies: list[tuple[dict[str, Row], int]] = [({}, 0)]

    @stateful.rule(key=strategies.sampled_from("abcd"))
    def put(self, key: str) -> None:
        self.version += 1
        row = Row(key, b"%d" % self.version, self.version)
        self.rows[key] = row
        self.history.append(row)

    @stateful.rule(key=strategies.sampled_from("abcd"))
    def remove(self, key: str) -> None:
        if key in self.rows:
            self.version += 1
            del self.rows[key]
            self.history.append(Row(key, b"", self.version, removed=True))

    @stateful.rule()
    def lose_history(self) -> None:
        self.history.clear()
        self.lost_version = self.version

    @stateful.rule()
    def copy(self) -> None:
        self.copies.append((dict(self.rows), self.version))

    @stateful.rule(behind=strategies.integers(1, 3))
    def read_an_old_copy(self, behind: int) -> None:
        call = self.watched.next_call()
        if call.after is not None:
            return
        present, version = self.copies[-min(behind, len(self.copies))]
        found = sorted(key for key in present if key >= call.start)
        page = tuple(present[key] for key in found[:2])
        self._take(call, Rows(page, version, len(found) > 2))

    @stateful.rule()
    def fail(self) -> None:
        self.watched.record_failure(messages.ReadFailure.NO_ANSWER)

    @stateful.rule(pages=strategies.integers(1, 4))
    def read(self, pages: int) -> None:
        for _ in range(pages):
            self._call_once()

    def _call_once(self) -> None:
        call = self.watched.next_call()
        if call.after is None:
            found = sorted(key for key in self.rows if key >= call.start)
            page = tuple(self.rows[key] for key in found[:2])
            rows = Rows(page, self.version, len(found) > 2)
        elif call.after < self.lost_version:
            self.watched.record_failure(messages.ReadFailure.HISTORY_GONE)
            return
        else:
            changed = [r for r in self.history if r.version > call.after]
            rows = Rows(tuple(changed), self.version)
        self._take(call, rows)

    def _take(self, call: messages.ReadCall, rows: Rows) -> None:
        if self.watched.is_stale(rows):
            self.watched.record_failure(messages.ReadFailure.STALE)
            return
        changes = self.watched.take_rows(call, rows)
        for row in changes.rows if changes else ():
            known = self.seen.get(row.key)
            assert known is None or row.version > known.version
            self.seen[row.key] = row

    @stateful.rule()
    def check_rows(self) -> None:
        for _ in range(6):
            self._call_once()
        present = {k: r for k, r in self.seen.items() if not r.removed}
        assert present == self.rows


TestStore = StoreMachine.TestCase


# Guards against refusing a restored store, as its versions are lower.
def test_versions_of_a_later_epoch_are_newer() -> None:
    assert versions.combine(2, 3) > versions.combine(1, 900)
    assert versions.get_epoch(versions.combine(2, 3)) == 2
    assert versions.get_number(versions.combine(2, 3)) == 3


def make_epoch_rows(epoch: int, version: int, **rows: int) -> messages.Rows:
    return messages.Rows(
        tuple(
            messages.Row(key, b"", versions.combine(epoch, number))
            for key, number in sorted(rows.items())
        ),
        versions.combine(epoch, version),
    )


def read_in_full(watched: watch.Watch, rows: messages.Rows):
    call = watched.next_call()
    assert call.after is None
    assert not watched.is_stale(rows)
    return watched.take_rows(call, rows)


def test_a_restored_store_is_read_in_full() -> None:
    watched = watch.Watch(random.Random(1), 1.0)
    read_in_full(watched, make_epoch_rows(1, 90, kept=10, lost=80, changed=85))
    # Its versions have overtaken the known one, so it doesn't say that it lacks
    # the changes since, and some of them aren't in the answer.
    call = watched.next_call()
    assert watched.take_rows(call, make_epoch_rows(2, 95, late=95)) is None
    restored = make_epoch_rows(2, 95, kept=10, changed=40, late=95)
    changes = read_in_full(watched, restored)
    assert {row.key: row.removed for row in changes.rows} == {
        "kept": False,
        "changed": False,
        "late": False,
        "lost": True,
    }
    assert changes.through == versions.combine(2, 95)


def test_an_answer_of_the_earlier_epoch_is_stale() -> None:
    watched = watch.Watch(random.Random(1), 1.0)
    read_in_full(watched, make_epoch_rows(2, 30, a=10))
    assert watched.is_stale(make_epoch_rows(1, 900, a=800))


def test_a_restoration_between_two_pages_restarts_the_read() -> None:
    watched = watch.Watch(random.Random(1), 1.0)
    first = msgspec.structs.replace(make_epoch_rows(1, 90, a=10), more=True)
    assert read_in_full(watched, first) is None
    assert watched.next_call().start
    assert read_in_full(watched, make_epoch_rows(2, 40, b=20)) is None
    assert not watched.next_call().start
    changes = read_in_full(watched, make_epoch_rows(2, 40, b=20))
    assert [row.key for row in changes.rows] == ["b"]


def test_a_peers_table_of_an_earlier_epoch_is_ignored() -> None:
    watched = watch.Watch(random.Random(1), 1.0)
    read_in_full(watched, make_epoch_rows(2, 30, a=10))
    assert watched.take_table(make_epoch_rows(1, 900, a=800)) is None
    assert watched.take_table(make_epoch_rows(0, 900, a=800)) is None
    assert watched.take_table(make_epoch_rows(3, 1, a=1)) is not None


def test_a_position_of_an_earlier_epoch_is_dropped() -> None:
    watched = watch.Watch(random.Random(1), 1.0)
    assert not watched.begin_epoch(2)  # Nothing has been read yet.
    read_in_full(watched, make_epoch_rows(1, 90, a=10))
    assert not watched.begin_epoch(1)
    assert watched.begin_epoch(2)
    changes = read_in_full(watched, make_epoch_rows(2, 90, a=10, b=90))
    assert [row.key for row in changes.rows] == ["a", "b"]
    assert not watched.begin_epoch(2)
