"""Judges streams by the runs that made their events."""

from collections.abc import Sequence
import re
from typing import NamedTuple

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner

_HEAD = re.compile(rb"id: (\d+)\ndata: [^\s/]*/(r\d+) ")
_END = b"\n\n"


class Try(NamedTuple):
    """One attempt of a caller to get a stream, or what follows a position.

    Attributes:
        attempt: Its id.
        path: The path that it asked for.
        after: The position that it asked to follow; -1: none.
        body: The bytes that came.
        complete: Whether they ended as a complete answer.
        resumable: Whether another run may go on.
        runs: The runs of this attempt, in order.
    """

    attempt: str
    path: str
    after: int
    body: bytes
    complete: bool
    resumable: bool
    runs: Sequence[records.Run]


def make_try(asked: caller.Asked, runs: Sequence[records.Run]) -> Try:
    """Returns what a caller was answered, with the runs of its attempt."""
    return Try(
        asked.attempt,
        asked.path,
        asked.after,
        asked.body if asked.status == 200 else b"",
        asked.whole and asked.status == 200,
        asked.kind == "resume",
        runs,
    )


class _Reading:
    """The events of one try, read in order.

    Attributes:
        position: The position of the last event.
        run: The run that made it; None before the first one.
        versions: The versions of the runs that made events.
    """

    def __init__(self, each: Try) -> None:
        self._try = each
        self._runs = {run.id: run for run in each.runs}
        self._made_by: set[str] = set()
        self.position = each.after
        self.run: records.Run | None = None
        self.versions: set[str] = set()

    def read(self) -> str:
        """Returns what is wrong, up to the first fault; empty: nothing."""
        body, at = self._try.body, 0
        while at < len(body):
            event = self._find_next(body, at)
            if event is None:
                return self._judge_rest(body[at:])
            if fault := self._take(*event):
                return fault
            at = body.index(_END, at) + len(_END)
        if self._try.complete and self.position != runner.EVENTS - 1:
            return f"ends as complete behind event {self.position}"
        return ""

    def _find_next(
        self, body: bytes, at: int
    ) -> tuple[int, records.Run] | None:
        """Returns the event at a place; None: there is no event of its runs."""
        found = _HEAD.match(body, at)
        run = self._runs.get(found.group(2).decode()) if found else None
        if found is None or run is None:
            return None
        position = int(found.group(1))
        made = self._make(run, position)
        return (position, run) if body.startswith(made, at) else None

    def _make(self, run: records.Run, position: int) -> bytes:
        return runner.make_event(
            self._try.path, self._try.attempt, position, run.version, run.id
        )

    def _take(self, position: int, run: records.Run) -> str:
        if position != self.position + 1:
            return f"event {position} of {run} behind {self.position}"
        if run is not self.run and (fault := self._change(run)):
            return fault
        self.position = position
        return ""

    def _change(self, run: records.Run) -> str:
        """Returns why a run may not go on; empty: it may."""
        last = self.run
        if last is not None and not self._try.resumable:
            return f"event {self.position + 1} of {run} behind {last}"
        if run.id in self._made_by:
            return f"{run} goes on again behind {last}"
        if run.after != self.position:
            return (
                f"{run} was asked for what follows {run.after}, and goes on "
                f"behind {self.position}"
            )
        self._made_by.add(run.id)
        self.versions.add(run.version)
        if len(self.versions) > 1:
            return f"{run} is of another version"
        self.run = run
        return ""

    def _judge_rest(self, rest: bytes) -> str:
        """Judges bytes that are no whole event of a run of this attempt."""
        if not self._try.complete and any(
            self._make(run, self.position + 1).startswith(rest)
            for run in self._runs.values()
        ):
            return ""
        where = f"behind event {self.position}"
        found = _HEAD.match(rest)
        if found is not None and found.group(2).decode() not in self._runs:
            return f"event of another request {where}: {rest[:60]!r}"
        return f"bytes of no event {where}: {rest[:60]!r}"


def find_faults(tries: Sequence[Try]) -> list[str]:
    """Returns what is wrong with a stream, over all tries of its caller.

    It is judged up to the first event or end that is wrong.
    """
    found = []
    position = -1
    versions: set[str] = set()
    for number, each in enumerate(tries):
        if number and each.after != position:
            found.append(
                f"{each.attempt}: resumed behind {each.after}, not {position}"
            )
        reading = _Reading(each)
        fault = reading.read()
        versions |= reading.versions
        if fault:
            # The position is unknown that its caller takes it up at.
            runs = ", ".join(str(run) for run in each.runs)
            return [*found, f"{each.attempt}: {fault}; runs: {runs or 'none'}"]
        position = reading.position
    if len(versions) > 1:
        found.append(f"{tries[0].attempt}: written by {sorted(versions)}")
    return found
