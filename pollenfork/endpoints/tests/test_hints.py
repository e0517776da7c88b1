"""Cache events with gaps, repeats and restarts."""

import pytest

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import hints


def make_events(*changes):
    return [
        edges.CacheEvent(sequence=abs(n), prefix=abs(n) * 10, stored=n > 0)
        for n in changes
    ]


@pytest.mark.parametrize(
    ("pages", "forget", "stored", "evicted"),
    [
        ([[1, 2]], False, (10, 20), ()),
        ([[1, 2], [2, 3]], False, (30,), ()),
        ([[1, 2], [2, -3]], False, (), (30,)),
        ([[1, 2], [2]], False, (), ()),
        ([[1, 2], [2, 4]], True, (40,), ()),  # A gap.
        ([[1, 4, 5]], True, (40, 50), ()),  # A gap inside a page.
        ([[1, 2], []], True, (), ()),  # A restart: the last one is gone.
        ([[1, 2], [7]], True, (70,), ()),  # The log was cut.
        ([[2, 1]], False, (10, 20), ()),  # Out of order.
    ],
)
def test_hints_follow_the_events(pages, forget, stored, evicted):
    followed = hints.Hints(ids.EndpointId("e1"))
    for page in pages:
        hint = followed.take(make_events(*page))
    assert (hint.forget, hint.stored, hint.evicted) == (forget, stored, evicted)


def test_after_a_restart_events_are_asked_for_from_the_start():
    followed = hints.Hints(ids.EndpointId("e1"))
    followed.take(make_events(1, 2, 3))
    assert followed.ask_after() == 2
    followed.take([])
    assert followed.ask_after() == 0
    assert followed.take(make_events(1)).stored == (10,)
