"""What was done for all is told from the logs, with why."""

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


def test_steps_come_in_order_with_who_did_them_and_why() -> None:
    steps = duties.follow(lines.read(LOG, "-"))
    assert [(step.instance, step.what) for step in steps] == [
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


def test_what_came_too_late_is_marked() -> None:
    steps = duties.follow(lines.read(LOG, "-"))
    assert [step.what for step in steps if step.alarming] == [steps[-1].what]
