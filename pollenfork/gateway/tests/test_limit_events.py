import logging

import pytest

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.gateway import limit_events
from pollenfork.ratelimits import parsing

RUNNER = fleet.Runner(
    id=ids.EndpointId("r1"),
    service=ids.ServiceName("s"),
    host="10.0.0.1",
    port=80,
    data_centre=ids.DataCentre("a"),
    slots=4,
    leaving=False,
    cold_s=0.0,
)


@pytest.fixture
def events(caplog):
    caplog.set_level(logging.INFO)
    return limit_events.LimitEvents()


def test_each_change_of_a_limit_is_logged_once(events, caplog) -> None:
    for rate in (2.5, 2.5, 5.0, None, None):
        events.on_answer(RUNNER, parsing.ParsedLimit(rate))
    assert [record.getMessage() for record in caplog.records] == [
        "event=limit_named runner=r1 rate=2.5 before=-",
        "event=limit_named runner=r1 rate=5 before=2.5",
        "event=limit_named runner=r1 rate=- before=5",
    ]


def test_sent_requests_are_counted_while_a_limit_is_declared(
    events, caplog
) -> None:
    events.on_sent(RUNNER, 1.0)
    events.on_answer(RUNNER, parsing.ParsedLimit(2.0))
    for now in (2.0, 2.5, 6.2):
        events.on_sent(RUNNER, now)
    lines = [record.getMessage() for record in caplog.records][1:]
    assert lines == [
        "event=limited_sends runner=r1 rate=2 sent=1 window_ms=4000",
        "event=limited_sends runner=r1 rate=2 sent=2 window_ms=4000",
    ]


def test_an_unreadable_limit_is_logged_once_and_changes_nothing(
    events, caplog
) -> None:
    events.on_answer(RUNNER, parsing.ParsedLimit(2.0))
    events.on_answer(RUNNER, parsing.parse((None,)))
    events.on_answer(RUNNER, parsing.parse((None,)))
    assert [record.levelname for record in caplog.records] == [
        "INFO",
        "WARNING",
    ]
