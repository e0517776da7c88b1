"""The form of log lines: one line of key=value pairs for each event."""

import json
import logging
from typing import TextIO

_FORMAT = "time=%(asctime)s level=%(levelname)s logger=%(name)s %(message)s"
_OWN = __name__.partition(".")[0]


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
