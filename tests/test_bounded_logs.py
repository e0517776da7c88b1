"""Logs never hold up the process that writes them."""

import logging
import os

from pollenfork import logs


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_logger(descriptor: int, clock: Clock) -> logging.Logger:
    logger = logging.Logger("pollenfork.test")
    logger.addHandler(logs.BoundedHandler(descriptor, clock))
    return logger


def test_a_flood_is_left_out_and_counted() -> None:
    read, write = os.pipe()
    clock = Clock()
    logger = make_logger(write, clock)
    extra = 50
    for number in range(int(logs.BoundedHandler.BURST) + extra):
        logger.info("event=x number=%d", number)
    clock.now = 1.0
    logger.info("event=last")
    os.close(write)
    with open(read) as lines:
        written = lines.read().splitlines()
    assert written[-2:] == ["event=last", f"event=lines_missing count={extra}"]
    assert len(written) == logs.BoundedHandler.BURST + 2


def test_a_pipe_that_nobody_reads_holds_nothing_up() -> None:
    read, write = os.pipe()
    clock = Clock()
    logger = make_logger(write, clock)
    for number in range(500):
        logger.info("event=x number=%d %s", number, "x" * 1000)
    os.close(read)
    logger.info("event=after")
    os.close(write)
