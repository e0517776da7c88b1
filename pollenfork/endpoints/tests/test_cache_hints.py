"""Cache events with gaps, duplicates and restarts."""

import pytest

from pollenfork import ids
from pollenfork.endpoints import cache_hints
from pollenfork.endpoints import edges


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
        ([[1, 2], []], True, (), ()),  # A restart: the latest event is gone.
        ([[1, 2], [7]], True, (70,), ()),  # The engine dropped older events.
        ([[2, 1]], False, (10, 20), ()),  # Out of order.
    ],
)
def test_hints_by_events(pages, forget, stored, evicted):
    cache = cache_hints.CacheHints(ids.EndpointId("e1"))
    for page in pages:
        hint = cache.process(make_events(*page))
    assert (hint.invalidates_all, hint.stored, hint.evicted) == (
        forget,
        stored,
        evicted,
    )


def test_events_are_fetched_from_the_start_after_a_restart():
    cache = cache_hints.CacheHints(ids.EndpointId("e1"))
    cache.process(make_events(1, 2, 3))
    assert cache.fetch_after() == 2
    cache.process([])
    assert cache.fetch_after() == 0
    assert cache.process(make_events(1)).stored == (10,)
