"""Descriptions of the duty holder's actions, taken from its log lines."""

from pollenfork.logbook import duties
from pollenfork.logbook import lines

HEAD = (
    "instance={} time=2026-09-17 18:18:{:02},000 level=INFO logger=x event={}"
)
LOG = [
    HEAD.format(
        "b", 9, "duties_taken fencing=2 after=a next_window=7 frozen=0"
    ),
    HEAD.format(
        "a", 1, "duties_taken fencing=1 after=- next_window=5 frozen=0"
    ),
    HEAD.format(
        "a",
        5,
        "window_summed window=5 accounts=2 requests=40 late_ms=500 missing=-",
    ),
    HEAD.format(
        "b",
        20,
        "window_reported window=6 late_ms=11000 due=False fencing=2 reply=done",
    ),
    HEAD.format(
        "a",
        6,
        "runners_wanted service=s data_centre=z reclaimable=True count=15 "
        "before=- ready=45 backlog_ms=12 taken=0.10 usual=45",
    ),
    HEAD.format(
        "a",
        7,
        "runners_ordered service=s data_centre=z reclaimable=True count=15 "
        "fencing=1 reply=unavailable",
    ),
    HEAD.format("a", 8, "started front=x"),
]


def test_events_are_ordered_with_instance_and_reason() -> None:
    events = duties.list_events(lines.parse(LOG, "-"))
    assert [(event.instance, event.text) for event in events] == [
        ("a", "acts for all by number 1, nobody held before"),
        ("a", "window 5: 40 requests"),
        (
            "a",
            "wants 15 reclaimable runners of s in z (before -): 45 work,"
            " usually 45; they have 12 ms to read and 0.10 of their places are"
            " taken",
        ),
        ("a", "ordered 15 reclaimable runners of s in z: unavailable"),
        ("b", "acts for all by number 2, after a"),
        ("b", "window 6 told after 11000 ms: done, too late"),
    ]


def test_late_report_is_marked_as_a_problem() -> None:
    events = duties.list_events(lines.parse(LOG, "-"))
    assert [event.text for event in events if event.is_problem] == [
        events[-1].text
    ]
