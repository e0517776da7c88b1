"""The form of log lines: one line of key=value pairs for each event."""

from collections.abc import Callable
import json
import logging
import os
import re
import time
from typing import TextIO

_FORMAT = "time=%(asctime)s level=%(levelname)s logger=%(name)s %(message)s"
_OWN = __name__.partition(".")[0]
# Marks a line of a request's ordinary course, as `extra` of the call.
ORDINARY = {"ordinary": True}
# What a caller sent may be long and hold anything; a value of a pair may not.
_LONGEST_VALUE = 120
_PLAIN = re.compile(r"[\w./:@+-]+", re.ASCII)


def quote_value(text: str) -> str:
    """Returns a text from outside as one value, quoted where it must be."""
    text = text[:_LONGEST_VALUE]
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


class Formatter(logging.Formatter):
    """Gives the libraries' free text the form of an event."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Returns the line; the program's own messages are pairs already."""
        if record.name.partition(".")[0] != _OWN:
            text = json.dumps(record.message, ensure_ascii=False)
            record.message = f"event=library_message text={text}"
        return super().formatMessage(record)


def configure(stream: TextIO) -> None:
    """Writes every event to `stream`, from the level of information on."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(Formatter(_FORMAT))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class BoundedHandler(logging.Handler):
    """Writes lines to a pipe, never waits for it, and leaves out a flood.

    Lines beyond the rate, and those that the pipe doesn't take, are counted;
    the next line that goes through says how many are missing. The ordinary
    course of requests is left out first: half of the burst is kept for what
    fails or changes.

    Attributes:
        missing: Lines left out since the start.
    """

    # Lines a second, and how many may come at once. A request takes three
    # lines, and a small instance serves up to a hundred requests a second.
    RATE = 400.0
    BURST = 2000.0
    RESERVE = 1000.0

    def __init__(
        self, descriptor: int, now: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._now = now
        self._allowed = self.BURST
        self._filled_at = now()
        self._missing = 0
        self.missing = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as missing."""
        if not self._take(hasattr(record, "ordinary")):
            self._note_missing()
            return
        text = self.format(record)
        if self._missing:
            text += f"\n{self._tell_missing()}"
        try:
            os.write(self._descriptor, f"{text}\n".encode())
        except OSError:
            # A full pipe, or one that nobody reads any more.
            self._note_missing()
        else:
            self._missing = 0

    def _tell_missing(self) -> str:
        told = {
            "name": __name__,
            "levelname": logging.getLevelName(logging.WARNING),
            "msg": f"event=lines_missing count={self._missing}",
        }
        return self.format(logging.makeLogRecord(told))

    def _note_missing(self) -> None:
        self._missing += 1
        self.missing += 1

    def _take(self, ordinary: bool) -> bool:
        now = self._now()
        gained = (now - self._filled_at) * self.RATE
        self._allowed = min(self.BURST, self._allowed + gained)
        self._filled_at = now
        reserve = self.RESERVE if ordinary else 0.0
        if self._allowed < reserve + 1.0:
            return False
        self._allowed -= 1.0
        return True


def configure_bounded(
    stream: TextIO, instance: str, now: Callable[[], float] = time.monotonic
) -> BoundedHandler:
    """Writes events to `stream` without ever waiting for its reader.

    Args:
        stream: Where to; must have a file descriptor.
        instance: Stands in each line, as logs of many are read together.
        now: The clock that the bound goes by, in monotonic seconds.
    """
    handler = BoundedHandler(stream.fileno(), now)
    handler.setFormatter(Formatter(f"instance={instance} {_FORMAT}"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    return handler
