"""A request's course as text."""

from collections.abc import Iterable
from typing import TextIO

from pollenfork.logbook import causes
from pollenfork.logbook import course as courses
from pollenfork.logbook import lines


def write(course: courses.Course, out: TextIO) -> None:
    """Writes the course, the beliefs behind it, and the cause."""
    out.write(f"request {course.request}\n")
    if course.lines:
        start = course.lines[0].at
        _write_part("course", course.lines, start, out)
        _write_part("believed by its instances", course.beliefs, start, out)
        _write_part("said of its runners", course.runners, start, out)
        _write_part("others at its runners", course.others, start, out)
        _write_part("ends of runners under it", course.ends, start, out)
        _write_part("started after it", course.starts, start, out)
    out.write(f"cause: {causes.explain(course)}\n")


def _write_part(
    title: str, part: Iterable[lines.Line], start: float, out: TextIO
) -> None:
    written = False
    for line in part:
        if not written:
            out.write(f"{title}\n")
            written = True
        pairs = " ".join(
            f"{key}={value}"
            for key, value in line.fields.items()
            if key != "request" or title != "course"
        )
        out.write(
            f"  {(line.at - start) * 1000:+9.0f} ms  {line.instance}"
            f"  {line.event}  {pairs}\n"
        )
