"""Runs one entry instance until it is told to stop."""

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
    """Serves until SIGTERM or SIGINT, then finishes what runs.

    A second signal ends the wait for requests in progress.

    Args:
        path: The settings file.
        output: Told the address once callers can connect.
        errors: Told what is wrong with the settings.
    """
    read = config.read_file(path, config.EntryConfig)
    if read.is_err():
        errors.write(f"pollenfork: {read.unwrap_err().detail}\n")
        return status.ExitStatus.USAGE
    app = application.Application(read.unwrap(), clock.SystemClock())
    told = threading.Event()
    insisted = threading.Event()

    def note_signal(number: int, frame: object) -> None:
        del number, frame
        if told.is_set():
            insisted.set()
        told.set()

    for number in _SIGNALS:
        signal.signal(number, note_signal)
    try:
        app.start()
    except (OSError, ValueError, RuntimeError) as error:
        errors.write(f"pollenfork: can't listen: {error}\n")
        return status.ExitStatus.ERROR
    output.write(f"listening on {app.address}\n")
    output.flush()
    told.wait()
    finished = app.drain(insisted)
    app.stop()
    return status.ExitStatus.SUCCESS if finished else status.ExitStatus.ERROR
