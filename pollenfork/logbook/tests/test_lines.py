"""Whatever a collector adds, the line of an instance is found in it."""

from pollenfork import logs
from pollenfork.logbook import lines

TEXT = (
    "time=2026-07-26 14:37:44,887 level=INFO logger=pollenfork.x "
    'event=refused request=q path="/a b" age_ms=-'
)


def read(*texts: str) -> list[lines.Line]:
    return list(lines.read(texts, "file"))


def test_a_line_has_its_instance_event_and_pairs() -> None:
    line = read(f"instance=i-1 {TEXT}")[0]
    assert (line.instance, line.event) == ("i-1", "refused")
    assert line.fields == {"request": "q", "path": "/a b", "age_ms": "-"}


def test_a_line_without_an_instance_has_its_files_name() -> None:
    assert read(TEXT)[0].instance == "file"


def test_what_a_collector_puts_before_a_line_is_left_out() -> None:
    line = read(f"   4.8881 front-2 instance=i-1 {TEXT}")[0]
    assert (line.instance, line.event) == ("i-1", "refused")


def test_text_that_is_no_event_is_left_out() -> None:
    trace = "Traceback (most recent call last):"
    assert read("", trace, "event=x request=q") == []


def test_times_differ_as_they_were_written() -> None:
    first, second = read(TEXT, TEXT.replace("44,887", "45,000"))
    assert round(second.at - first.at, 6) == 0.113


def test_a_value_from_outside_cannot_pass_for_other_pairs() -> None:
    forged = logs.quote_value('x" event=answered request=other')
    assert logs.quote_value("9c41d07be2a35f68") == "9c41d07be2a35f68"
    line = read(TEXT.replace("request=q", f"request={forged}"))[0]
    assert line.event == "refused"
    assert line.fields["request"] == 'x" event=answered request=other'


def test_a_value_from_outside_has_a_bounded_length() -> None:
    assert len(logs.quote_value("x" * 100_000)) == 120
