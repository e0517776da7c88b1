"""Delays with which instances learn of changes, computed from their logs."""

import io

from pollenfork.logbook import lines
from pollenfork.logbook import propagation
from pollenfork.logbook import propagation_report

_KNOWN = "runner_known runner=r leaving={} row=5 restarted={} way={}"
_GONE = "runner_gone runner=r row=6 way=store"
_FORCE = "configuration_in_force version={} row=1 way={}"


def write(instance: str, at: float, event: str) -> str:
    return (
        f"instance={instance} time=2026-12-02 10:00:{at:06.3f}".replace(
            ".", ","
        )
        + f" level=INFO logger=l event={event}"
    )


def list_changes(*records: tuple[str, float, str]) -> list[propagation.Change]:
    texts = [write(*each) for each in records]
    texts += [write(name, 50.0, "readiness") for name in "abc"]
    texts += [write(name, 0.0, "started") for name in "abc"]
    return propagation.list_changes(lines.parse(texts, "file"))


def test_departure_is_timed_from_the_first_receipt() -> None:
    (change,) = list_changes(
        ("a", 5.0, _KNOWN.format(True, False, "store")),
        ("b", 5.5, _GONE),
        ("c", 7.0, _KNOWN.format(True, False, "peer")),
        ("c", 6.5, "chosen request=q runner=r"),
        ("b", 9.0, _GONE),
    )
    assert change.what == "leaving r"
    delays = [
        (each.instance, round(each.delay_s, 3)) for each in change.receipts
    ]
    assert delays == [("a", 0.0), ("b", 0.5), ("c", 2.0)]
    assert change.slowest.source == "peer" and round(change.median_s, 3) == 0.5
    assert round(change.last_request_s, 3) == 1.5 and change.missing == ()


def test_restarted_runner_can_depart_again() -> None:
    first, second = list_changes(
        ("a", 5.0, _GONE),
        ("b", 5.1, _GONE),
        ("a", 8.0, _KNOWN.format(False, True, "store")),
        ("b", 8.3, "chosen request=q runner=r"),
        ("a", 9.0, _GONE),
        ("b", 9.4, _GONE),
    )
    assert (
        round(first.slowest.delay_s, 3) == 0.1 and first.last_request_s is None
    )
    assert first.missing == ("c",)
    assert round(second.slowest.delay_s, 3) == 0.4


def test_later_version_counts_as_receipt_of_earlier_ones() -> None:
    changes = list_changes(
        ("a", 5.0, _FORCE.format(7, "store")),
        ("a", 5.3, _FORCE.format(9, "store")),
        ("b", 6.0, _FORCE.format(9, "peer")),
    )
    delays = {each.what: round(each.slowest.delay_s, 3) for each in changes}
    assert delays == {"configuration 7": 1.0, "configuration 9": 0.7}


def test_instance_started_after_the_change_is_not_counted() -> None:
    (change,) = list_changes(
        ("a", 5.0, _GONE),
        ("b", 5.1, _GONE),
        ("c", 8.0, "started"),
        ("c", 9.0, _GONE),
    )
    assert [each.instance for each in change.receipts] == ["a", "b"]
    assert change.missing == ()


def test_report_shows_the_slowest_by_source() -> None:
    changes = list_changes(
        ("a", 5.0, _GONE), ("b", 6.5, _KNOWN.format(True, False, "peer"))
    )
    out = io.StringIO()
    propagation_report.write(changes, out)
    assert "leaving r" in out.getvalue()
    assert "never at c" in out.getvalue()
    assert "worst by peer: 1.50 s at b, leaving r" in out.getvalue()
