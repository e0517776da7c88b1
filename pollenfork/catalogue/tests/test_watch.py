import random

from hypothesis import stateful
from hypothesis import strategies

from pollenfork.catalogue import messages
from pollenfork.catalogue import watch

Row = messages.Row
Rows = messages.Rows


def make_watch() -> watch.Watch:
    return watch.Watch(random.Random(1), wait_s=2.0)


def answer(watched: watch.Watch, *rows: Row, version: int, more=False):
    ask = watched.next_ask()
    return watched.take_rows(ask, Rows(rows, version, more))


def test_the_table_is_read_whole_before_changes_are_waited_for() -> None:
    watched = make_watch()
    assert watched.next_ask().after is None
    changes = answer(watched, Row("a", b"1", 3), version=5)
    assert [row.key for row in changes.rows] == ["a"]
    ask = watched.next_ask()
    assert (ask.after, ask.wait_s) == (5, 2.0)


def test_pages_are_read_on_from_the_last_key() -> None:
    watched = make_watch()
    assert answer(watched, Row("a", b"", 1), version=5, more=True) is None
    assert watched.next_ask().start == "a\0"
    changes = answer(watched, Row("b", b"", 6), version=7)
    assert [row.key for row in changes.rows] == ["a", "b"]
    # Changes between the pages are asked for again.
    assert watched.next_ask().after == 5


def test_rows_never_go_back() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"new", 9), version=5)
    changes = answer(watched, Row("a", b"old", 8), version=9)
    assert changes.rows == ()


def test_a_read_after_forgotten_history_shows_what_has_gone() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"", 1), Row("b", b"", 2), version=2)
    assert watched.take_trouble(messages.Trouble.HISTORY_GONE) == 0.0
    assert not watched.troubled
    assert watched.next_ask().after is None
    changes = answer(watched, Row("b", b"", 2), version=8)
    assert [(row.key, row.removed) for row in changes.rows] == [("a", True)]


def test_after_a_failure_the_next_call_does_not_wait() -> None:
    watched = make_watch()
    answer(watched, version=5)
    first = watched.take_trouble(messages.Trouble.NO_ANSWER)
    assert 0 < first < 0.2
    assert watched.next_ask().wait_s == 0.0
    assert watched.next_ask().after == 5
    pauses = [watched.take_trouble(messages.Trouble.REFUSED) for _ in range(20)]
    assert 0.4 < max(pauses) <= 0.8
    answer(watched, version=6)
    assert not watched.troubled
    assert watched.next_ask().wait_s == 2.0


def test_a_read_that_is_turned_away_goes_on_where_it_was() -> None:
    watched = make_watch()
    assert answer(watched, Row("a", b"1", 3), version=5, more=True) is None
    for trouble in (messages.Trouble.REFUSED, messages.Trouble.NO_ANSWER):
        watched.take_trouble(trouble)
        assert watched.next_ask().start == "a\0"
    changes = answer(watched, Row("b", b"2", 7), version=8)
    assert [row.key for row in changes.rows] == ["a", "b"]
    # What changed since the first page is still asked for.
    assert watched.next_ask().after == changes.through == 5


def test_a_read_whose_page_is_no_page_begins_anew() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"1", 3), version=5, more=True)
    watched.take_trouble(messages.Trouble.UNREADABLE)
    assert watched.next_ask().start == ""


def test_an_answer_from_before_what_is_known_is_stale() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"", 4), version=9)
    assert watched.is_stale(Rows((), 8))
    assert not watched.is_stale(Rows((), 9))
    # Forgotten history doesn't make older answers any better.
    watched.take_trouble(messages.Trouble.HISTORY_GONE)
    assert watched.is_stale(Rows((Row("b", b"", 3),), 8))
    assert watched.take_table(Rows((Row("b", b"", 3),), 9)) is None
    assert watched.take_table(Rows((Row("b", b"", 10),), 10)) is not None


def test_a_page_from_before_the_first_is_stale() -> None:
    watched = make_watch()
    answer(watched, Row("a", b"", 1), version=5, more=True)
    assert watched.is_stale(Rows((Row("b", b"", 3),), 4))


class StoreMachine(stateful.RuleBasedStateMachine):
    """A store that changes, forgets and fails, and one that watches it."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[str, Row] = {}
        self.history: list[Row] = []
        self.forgotten = 0
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
    def forget(self) -> None:
        self.history.clear()
        self.forgotten = self.version

    @stateful.rule()
    def copy(self) -> None:
        self.copies.append((dict(self.rows), self.version))

    @stateful.rule(behind=strategies.integers(1, 3))
    def read_an_old_copy(self, behind: int) -> None:
        ask = self.watched.next_ask()
        if ask.after is not None:
            return
        present, version = self.copies[-min(behind, len(self.copies))]
        found = sorted(key for key in present if key >= ask.start)
        page = tuple(present[key] for key in found[:2])
        self._take(ask, Rows(page, version, len(found) > 2))

    @stateful.rule()
    def fail(self) -> None:
        self.watched.take_trouble(messages.Trouble.NO_ANSWER)

    @stateful.rule(pages=strategies.integers(1, 4))
    def call(self, pages: int) -> None:
        for _ in range(pages):
            self._call_once()

    def _call_once(self) -> None:
        ask = self.watched.next_ask()
        if ask.after is None:
            found = sorted(key for key in self.rows if key >= ask.start)
            page = tuple(self.rows[key] for key in found[:2])
            rows = Rows(page, self.version, len(found) > 2)
        elif ask.after < self.forgotten:
            self.watched.take_trouble(messages.Trouble.HISTORY_GONE)
            return
        else:
            changed = [r for r in self.history if r.version > ask.after]
            rows = Rows(tuple(changed), self.version)
        self._take(ask, rows)

    def _take(self, ask: messages.Ask, rows: Rows) -> None:
        if self.watched.is_stale(rows):
            self.watched.take_trouble(messages.Trouble.STALE)
            return
        changes = self.watched.take_rows(ask, rows)
        for row in changes.rows if changes else ():
            known = self.seen.get(row.key)
            assert known is None or row.version > known.version
            self.seen[row.key] = row

    @stateful.rule()
    def settle(self) -> None:
        for _ in range(6):
            self._call_once()
        present = {k: r for k, r in self.seen.items() if not r.removed}
        assert present == self.rows


TestStore = StoreMachine.TestCase
