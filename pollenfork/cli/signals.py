"""Waiting for the signals that stop a process."""

import signal
import threading

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def wait_for_stop() -> None:
    """Returns at SIGTERM or SIGINT; for the main thread only."""
    told = threading.Event()

    def note_signal(number: int, frame: object) -> None:
        del number, frame
        told.set()

    for number in _SIGNALS:
        signal.signal(number, note_signal)
    told.wait()
