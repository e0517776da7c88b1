"""Parser of log lines."""

from collections.abc import Iterable, Iterator
import datetime
import json
import re

import msgspec

# A log collector may prepend text of its own to a line.
_LINE = re.compile(
    r"(?:\binstance=(?P<instance>\S+) )?"
    r"\btime=(?P<time>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) "
    r"level=\S+ logger=\S+ (?P<pairs>event=.*)"
)
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class Line(msgspec.Struct, frozen=True):
    """One logged event.

    Attributes:
        at: Seconds since the epoch, by the clock of the instance.
        instance: The instance that wrote the line.
        event: The event's name.
        fields: The other key-value pairs, in order.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, str]


def parse(source: Iterable[str], name: str) -> Iterator[Line]:
    """Parses the lines of one file and skips those that hold no event.

    Args:
        source: The file's lines.
        name: Instance name for lines that name no instance.
    """
    for text in source:
        match = _LINE.search(text)
        if match is None:
            continue
        pairs = dict(_parse_pairs(match["pairs"]))
        event = pairs.pop("event")
        instance = match["instance"] or name
        yield Line(_parse_time(match["time"]), instance, event, pairs)


def get_forecast_ms(chosen: Line) -> int | None:
    """Returns the time to the first event that a choice forecast.

    Args:
        chosen: The line of the choice.

    Returns:
        None if the service isn't forecast, or the line is of a version that
        didn't log forecasts.
    """
    forecast_ms = chosen.fields.get("forecast_ms", "-")
    return None if forecast_ms == "-" else int(forecast_ms)


def get_expected_ms(chosen: Line) -> int:
    """Returns the forecast of a choice, or its cost if there is none."""
    forecast_ms = get_forecast_ms(chosen)
    if forecast_ms is not None:
        return forecast_ms
    return int(chosen.fields["cost_ms"])


def count_missing(log: Iterable[Line]) -> int:
    """Returns how many lines the instances report as dropped."""
    return sum(
        int(line.fields["count"])
        for line in log
        if line.event == "lines_missing"
    )


def _parse_pairs(text: str) -> Iterator[tuple[str, str]]:
    for key, value in _PAIR.findall(text):
        yield key, json.loads(value) if value.startswith('"') else value


def _parse_time(text: str) -> float:
    # Log times have no time zone; only their differences are used.
    moment = datetime.datetime.strptime(text, _TIME_FORMAT)
    return moment.replace(tzinfo=datetime.UTC).timestamp()
