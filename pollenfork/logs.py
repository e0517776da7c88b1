"""Log format: one line of key=value pairs for each event."""

from collections.abc import Callable
import json
import logging
import os
import re
import time
from typing import TextIO

_FORMAT = "time=%(asctime)s level=%(levelname)s logger=%(name)s %(message)s"
_PACKAGE = __name__.partition(".")[0]
# Pass as `extra` to mark a line as part of normal request processing.
ORDINARY = {"ordinary": True}
# Values from callers may be long and contain any characters; limit them.
_MAX_VALUE_LENGTH = 120
_UNQUOTED = re.compile(r"[\w./:@+-]+", re.ASCII)


def quote_value(text: str) -> str:
    """Returns external text as a log value: shortened, quoted if needed."""
    text = text[:_MAX_VALUE_LENGTH]
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)


class Formatter(logging.Formatter):
    """Formats the free-text messages of libraries as events."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Formats the record; own messages are key=value pairs already."""
        if record.name.partition(".")[0] != _PACKAGE:
            text = json.dumps(record.message, ensure_ascii=False)
            record.message = f"event=library_message text={text}"
        return super().formatMessage(record)


def configure(stream: TextIO) -> None:
    """Logs events of level INFO and above to `stream`."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(Formatter(_FORMAT))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class BoundedHandler(logging.Handler):
    """Writes lines to a pipe without blocking, at a limited rate.

    Lines over the rate limit, or that the pipe doesn't accept, are dropped and
    counted; the next line written is followed by the number dropped. Lines
    marked `ORDINARY` are dropped first: half of the burst is reserved for
    failures and changes.

    Attributes:
        missing: Lines dropped since the start.
    """

    # Token bucket: lines per second and burst. A request logs three lines,
    # and a small instance serves up to 100 requests per second.
    RATE = 400.0
    BURST = 2000.0
    RESERVE = 1000.0

    def __init__(
        self, descriptor: int, now: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._now = now
        self._tokens = self.BURST
        self._refilled_at = now()
        self._missing = 0
        self.missing = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or drops and counts it."""
        if not self._try_take_token(hasattr(record, "ordinary")):
            self._count_missing()
            return
        text = self.format(record)
        if self._missing:
            text += f"\n{self._format_missing()}"
        try:
            os.write(self._descriptor, f"{text}\n".encode())
        except OSError:
            # The pipe is full, or its reader has closed it.
            self._count_missing()
        else:
            self._missing = 0

    def _format_missing(self) -> str:
        fields = {
            "name": __name__,
            "levelname": logging.getLevelName(logging.WARNING),
            "msg": f"event=lines_missing count={self._missing}",
        }
        return self.format(logging.makeLogRecord(fields))

    def _count_missing(self) -> None:
        self._missing += 1
        self.missing += 1

    def _try_take_token(self, is_ordinary: bool) -> bool:
        now = self._now()
        added = (now - self._refilled_at) * self.RATE
        self._tokens = min(self.BURST, self._tokens + added)
        self._refilled_at = now
        reserve = self.RESERVE if is_ordinary else 0.0
        if self._tokens < reserve + 1.0:
            return False
        self._tokens -= 1.0
        return True


def configure_bounded(
    stream: TextIO, instance: str, now: Callable[[], float] = time.monotonic
) -> BoundedHandler:
    """Logs events to `stream` without blocking on its reader.

    Args:
        stream: Destination; must have a file descriptor.
        instance: Included in each line, since logs of several instances are
            read together.
        now: Clock of the rate limit, in monotonic seconds.
    """
    handler = BoundedHandler(stream.fileno(), now)
    handler.setFormatter(Formatter(f"instance={instance} {_FORMAT}"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    return handler
