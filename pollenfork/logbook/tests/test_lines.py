"""Parsing of log lines, with and without a log collector's additions."""

from pollenfork import logs
from pollenfork.logbook import lines

TEXT = (
    "time=2026-07-26 14:37:44,887 level=INFO logger=pollenfork.x "
    'event=refused request=q path="/a b" age_ms=-'
)


def parse(*texts: str) -> list[lines.Line]:
    return list(lines.parse(texts, "file"))


def test_line_is_parsed_into_instance_event_and_fields() -> None:
    line = parse(f"instance=i-1 {TEXT}")[0]
    assert (line.instance, line.event) == ("i-1", "refused")
    assert line.fields == {"request": "q", "path": "/a b", "age_ms": "-"}


def test_line_without_instance_gets_the_file_name() -> None:
    assert parse(TEXT)[0].instance == "file"


def test_prefix_added_by_a_collector_is_ignored() -> None:
    line = parse(f"   4.8881 front-2 instance=i-1 {TEXT}")[0]
    assert (line.instance, line.event) == ("i-1", "refused")


def test_text_without_an_event_is_skipped() -> None:
    trace = "Traceback (most recent call last):"
    assert parse("", trace, "event=x request=q") == []


def test_time_differences_are_preserved() -> None:
    first, second = parse(TEXT, TEXT.replace("44,887", "45,000"))
    assert round(second.at - first.at, 6) == 0.113


def test_external_value_cannot_inject_fields() -> None:
    forged = logs.quote_value('x" event=answered request=other')
    assert logs.quote_value("9c41d07be2a35f68") == "9c41d07be2a35f68"
    line = parse(TEXT.replace("request=q", f"request={forged}"))[0]
    assert line.event == "refused"
    assert line.fields["request"] == 'x" event=answered request=other'


def test_external_value_is_truncated() -> None:
    assert len(logs.quote_value("x" * 100_000)) == 120
