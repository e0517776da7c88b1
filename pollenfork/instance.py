"""Runs an entry instance until it receives a stop signal."""

import pathlib
import signal
import threading
from typing import TextIO

from pollenfork import application
from pollenfork import clock
from pollenfork import config
from pollenfork import status

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_entry(
    path: pathlib.Path, output: TextIO, errors: TextIO
) -> status.ExitStatus:
    """Serves until SIGTERM or SIGINT, then finishes running requests.

    A second signal ends the wait for requests in progress.

    Args:
        path: The settings file.
        output: Receives the address once callers can connect.
        errors: Receives error messages.
    """
    read = config.read_file(path, config.EntryConfig)
    if read.is_err():
        errors.write(f"pollenfork: {read.unwrap_err().detail}\n")
        return status.ExitStatus.USAGE
    app = application.Application(read.unwrap(), clock.SystemClock())
    stop_requested = threading.Event()
    stop_forced = threading.Event()

    def handle_signal(number: int, frame: object) -> None:
        del number, frame
        if stop_requested.is_set():
            stop_forced.set()
        stop_requested.set()

    for number in _SIGNALS:
        signal.signal(number, handle_signal)
    try:
        app.start()
    except (OSError, ValueError, RuntimeError) as error:
        errors.write(f"pollenfork: can't listen: {error}\n")
        return status.ExitStatus.ERROR
    output.write(f"listening on {app.address}\n")
    output.flush()
    stop_requested.wait()
    finished = app.drain(stop_forced)
    app.stop()
    return status.ExitStatus.SUCCESS if finished else status.ExitStatus.ERROR
