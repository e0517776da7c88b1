"""Lines of the log, decoded."""

from collections.abc import Iterable, Iterator
import datetime
import json
import re

import msgspec

# A collector may have put something before a line of ours.
_LINE = re.compile(
    r"(?:\binstance=(?P<instance>\S+) )?"
    r"\btime=(?P<time>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) "
    r"level=\S+ logger=\S+ (?P<pairs>event=.*)"
)
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME_FORM = "%Y-%m-%d %H:%M:%S,%f"


class Line(msgspec.Struct, frozen=True):
    """One event.

    Attributes:
        at: Seconds since the epoch, by its instance's clock.
        instance: Who wrote it.
        event: The event's name.
        fields: Its other pairs, in order.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, str]


def read(source: Iterable[str], name: str) -> Iterator[Line]:
    """Decodes the lines of one file; leaves out what is no event.

    Args:
        source: The file's lines.
        name: Stands for the instance where a line names none.
    """
    for text in source:
        found = _LINE.search(text)
        if found is None:
            continue
        pairs = dict(_read_pairs(found["pairs"]))
        event = pairs.pop("event")
        instance = found["instance"] or name
        yield Line(_read_time(found["time"]), instance, event, pairs)


def count_missing(log: Iterable[Line]) -> int:
    """Returns how many lines instances say that they left out."""
    return sum(
        int(line.fields["count"])
        for line in log
        if line.event == "lines_missing"
    )


def _read_pairs(text: str) -> Iterator[tuple[str, str]]:
    for key, value in _PAIR.findall(text):
        yield key, json.loads(value) if value.startswith('"') else value


def _read_time(text: str) -> float:
    # The log's times bear no zone; only their differences matter.
    moment = datetime.datetime.strptime(text, _TIME_FORM)
    return moment.replace(tzinfo=datetime.UTC).timestamp()
