"""When each instance had a change is read off the logs of all."""

import io

from pollenfork.logbook import lines
from pollenfork.logbook import news
from pollenfork.logbook import news_page

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


def follow(*told: tuple[str, float, str]) -> list[news.Change]:
    texts = [write(*each) for each in told]
    texts += [write(name, 50.0, "readiness") for name in "abc"]
    texts += [write(name, 0.0, "started") for name in "abc"]
    return news.follow(lines.read(texts, "file"))


def test_a_leaving_is_followed_from_the_first_that_had_it() -> None:
    (change,) = follow(
        ("a", 5.0, _KNOWN.format(True, False, "store")),
        ("b", 5.5, _GONE),
        ("c", 7.0, _KNOWN.format(True, False, "peer")),
        ("c", 6.5, "chosen request=q runner=r"),
        ("b", 9.0, _GONE),
    )
    assert change.what == "leaving r"
    late = [(each.instance, round(each.late_s, 3)) for each in change.arrivals]
    assert late == [("a", 0.0), ("b", 0.5), ("c", 2.0)]
    assert change.worst.way == "peer" and round(change.median_s, 3) == 0.5
    assert round(change.work_s, 3) == 1.5 and change.missed == ()


def test_one_that_starts_again_leaves_anew() -> None:
    first, second = follow(
        ("a", 5.0, _GONE),
        ("b", 5.1, _GONE),
        ("a", 8.0, _KNOWN.format(False, True, "store")),
        ("b", 8.3, "chosen request=q runner=r"),
        ("a", 9.0, _GONE),
        ("b", 9.4, _GONE),
    )
    assert round(first.worst.late_s, 3) == 0.1 and first.work_s is None
    assert first.missed == ("c",)
    assert round(second.worst.late_s, 3) == 0.4


def test_whoever_has_a_later_version_has_the_earlier_one_too() -> None:
    changes = follow(
        ("a", 5.0, _FORCE.format(7, "store")),
        ("a", 5.3, _FORCE.format(9, "store")),
        ("b", 6.0, _FORCE.format(9, "peer")),
    )
    late = {each.what: round(each.worst.late_s, 3) for each in changes}
    assert late == {"configuration 7": 1.0, "configuration 9": 0.7}


def test_an_instance_that_started_later_is_not_late() -> None:
    (change,) = follow(
        ("a", 5.0, _GONE),
        ("b", 5.1, _GONE),
        ("c", 8.0, "started"),
        ("c", 9.0, _GONE),
    )
    assert [each.instance for each in change.arrivals] == ["a", "b"]
    assert change.missed == ()


def test_the_page_shows_the_worst_by_way() -> None:
    changes = follow(
        ("a", 5.0, _GONE), ("b", 6.5, _KNOWN.format(True, False, "peer"))
    )
    out = io.StringIO()
    news_page.write(changes, out)
    assert "leaving r" in out.getvalue()
    assert "never at c" in out.getvalue()
    assert "worst by peer: 1.50 s at b, leaving r" in out.getvalue()
