"""Changes of a runner's cache hold in the order of their numbers."""

from hypothesis import given
from hypothesis import strategies

from pollenfork.fleet import cache_order
from pollenfork.fleet import messages

PARTS = (b"a", b"b", b"c")


def make_change(text: str) -> messages.CacheChange:
    """Returns a change from its part, sign and number, such as `a+7`."""
    return messages.CacheChange(
        text[:1].encode(), text[1] == "+", int(text[2:])
    )


def make_report(position: int, *changes: str, **given) -> messages.CacheReport:
    made = tuple(make_change(each) for each in changes)
    return messages.CacheReport(made, position, **given)


class Belief:
    """The parts that are believed cached after the reports taken."""

    def __init__(self) -> None:
        self.order = cache_order.CacheOrder()
        self.kept: set[bytes] = set()

    def take(self, report: messages.CacheReport) -> bool:
        taken = self.order.take(report)
        if taken is None:
            return False
        if taken.complete:
            self.kept.clear()
        for change in taken.changes:
            if change.kept:
                self.kept.add(change.part)
            else:
                self.kept.discard(change.part)
        return True


def list_kept(changes: list[messages.CacheChange]) -> set[bytes]:
    last = {each.part: each.kept for each in changes}
    return {part for part, kept in last.items() if kept}


# Guards against changes that hold though a later one of their part is known:
# answers that repeat changes, hold them late or in another order, or lack some.
@given(data=strategies.data())
def test_of_each_part_the_highest_number_that_arrived_holds(data) -> None:
    made = [
        messages.CacheChange(part, kept, number)
        for number, (part, kept) in enumerate(
            data.draw(
                strategies.lists(
                    strategies.tuples(
                        strategies.sampled_from(PARTS), strategies.booleans()
                    ),
                    min_size=1,
                    max_size=12,
                )
            ),
            data.draw(strategies.integers(0, 1)),
        )
    ]
    belief, arrived, position = Belief(), {}, 0
    for _ in range(data.draw(strategies.integers(1, 5))):
        last = data.draw(strategies.integers(0, len(made)))
        position = max(position, made[last - 1].sequence if last else 0)
        if data.draw(strategies.booleans()):
            shown = made[:last] if last else []
            if shown and position > shown[-1].sequence:
                continue  # A list is never older than the position.
            kept = list_kept(shown)
            listed = tuple(messages.CacheChange(each, True) for each in kept)
            report = messages.CacheReport(listed, position, complete=True)
            arrived = {each.sequence: each for each in shown}
        else:
            some = data.draw(strategies.lists(strategies.sampled_from(made)))
            report = messages.CacheReport(tuple(some), position)
            arrived |= {each.sequence: each for each in some}
        assert belief.take(report)
        ordered = [arrived[each] for each in sorted(arrived)]
        assert belief.kept == list_kept(ordered)


# Guards against dropping a change because others of the runner came before it.
def test_a_late_change_holds_if_no_later_one_of_its_part_is_known() -> None:
    belief = Belief()
    belief.take(make_report(2, "a+1", "b+2"))
    belief.take(make_report(5, "a-5"))
    belief.take(make_report(5, "b-3", "a+4"))
    assert belief.kept == set()


# Guards against a restart that nothing but the numbers tells: the changes
# between the new beginning and the next answer were missed.
def test_a_position_that_goes_back_requests_everything() -> None:
    belief = Belief()
    belief.take(make_report(9, "a+8", "b+9"))
    assert not belief.take(make_report(1, "b-1"))
    assert belief.order.after is None
    assert belief.take(make_report(2, "b+1", "c+2"))
    assert belief.kept == {b"b", b"c"}


# Guards against putting a list that was made before known changes in their
# place.
def test_an_earlier_list_does_not_replace_later_changes() -> None:
    belief = Belief()
    belief.take(make_report(9, "a+8", "b+9"))
    assert not belief.take(make_report(7, "c+7", complete=True))
    assert belief.kept == {b"a", b"b"}
    assert belief.order.after is None


def test_another_epoch_requests_everything() -> None:
    belief = Belief()
    belief.take(make_report(3, "a+3", epoch="1"))
    assert not belief.take(make_report(8, "b+8", epoch="2"))
    assert belief.take(make_report(4, "c+4", epoch="2"))
    assert belief.kept == {b"c"}


# Guards against memory that grows with the parts that a runner ever cached, and
# against changes that hold because their successor is no longer remembered.
def test_only_the_latest_changes_are_remembered(monkeypatch) -> None:
    monkeypatch.setattr(cache_order, "_MAX_PARTS", 2)
    belief = Belief()
    belief.take(make_report(3, "a+1", "a-2"))
    belief.take(make_report(5, "b+4", "c+5"))
    assert len(belief.order._latest) == 2
    belief.take(make_report(5, "a+1"))
    assert belief.kept == {b"b", b"c"}
