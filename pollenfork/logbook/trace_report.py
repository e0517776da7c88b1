"""Text report of one request's trace."""

from collections.abc import Iterable
from typing import TextIO

from pollenfork.logbook import causes
from pollenfork.logbook import lines
from pollenfork.logbook import trace as traces


def write(trace: traces.Trace, out: TextIO) -> None:
    """Writes the trace, the state known to its instances, and the cause."""
    out.write(f"request {trace.request}\n")
    if trace.lines:
        start = trace.lines[0].at
        _write_section("course", trace.lines, start, out)
        _write_section("believed by its instances", trace.beliefs, start, out)
        _write_section("said of its runners", trace.runners, start, out)
        _write_section("others at its runners", trace.others, start, out)
        _write_section("ends of runners under it", trace.ends, start, out)
        _write_section("returns of the same", trace.returns, start, out)
        _write_section("started after it", trace.starts, start, out)
    out.write(f"cause: {causes.explain(trace)}\n")


def _write_section(
    title: str, section: Iterable[lines.Line], start: float, out: TextIO
) -> None:
    written = False
    for line in section:
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
