"""Logging never blocks the process."""

import logging
import os
import pathlib

from pollenfork import logs
from pollenfork.logbook import lines


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_logger(descriptor: int, clock: Clock) -> logging.Logger:
    logger = logging.Logger("pollenfork.test")
    logger.addHandler(logs.BoundedHandler(descriptor, clock))
    return logger


def test_lines_over_the_rate_limit_are_dropped_and_counted() -> None:
    read, write = os.pipe()
    clock = Clock()
    logger = make_logger(write, clock)
    extra = 50
    for number in range(int(logs.BoundedHandler.BURST) + extra):
        logger.info("event=x number=%d", number)
    assert logger.handlers[0].missing == extra
    clock.now = 1.0
    logger.info("event=last")
    os.close(write)
    with open(read) as source:
        written = source.read().splitlines()
    assert written[-2:] == ["event=last", f"event=lines_missing count={extra}"]
    assert len(written) == logs.BoundedHandler.BURST + 2


def test_full_or_closed_pipe_does_not_block() -> None:
    read, write = os.pipe()
    clock = Clock()
    logger = make_logger(write, clock)
    for number in range(500):
        logger.info("event=x number=%d %s", number, "x" * 1000)
    os.close(read)
    logger.info("event=after")
    os.close(write)


def test_ordinary_lines_are_dropped_first() -> None:
    read, write = os.pipe()
    logger = make_logger(write, Clock())
    burst, reserve = logs.BoundedHandler.BURST, logs.BoundedHandler.RESERVE
    for _ in range(int(burst)):
        logger.info("event=chosen", extra=logs.ORDINARY)
    for _ in range(int(reserve)):
        logger.warning("event=given_up")
    os.close(write)
    with open(read) as source:
        written = source.read().splitlines()
    assert written.count("event=chosen") == burst - reserve
    assert written.count("event=given_up") == reserve


def test_each_line_names_its_instance_including_lines_missing(
    tmp_path: pathlib.Path,
) -> None:
    written = tmp_path / "log"
    with written.open("w") as stream:
        handler = logs.configure_bounded(stream, "i-1", Clock())
        logging.getLogger().removeHandler(handler)
        logger = logging.Logger("pollenfork.test")
        logger.addHandler(handler)
        for _ in range(int(logs.BoundedHandler.BURST)):
            logger.info("event=x", extra=logs.ORDINARY)
        logger.warning("event=last")
    found = list(lines.parse(written.read_text().splitlines(), "file"))
    assert {line.instance for line in found} == {"i-1"}
    assert [line.event for line in found[-2:]] == ["last", "lines_missing"]
    assert int(found[-1].fields["count"]) == logs.BoundedHandler.RESERVE
