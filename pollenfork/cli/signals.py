"""Waits for the signals that stop a process."""

import signal
import threading

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def wait_for_stop() -> None:
    """Blocks until SIGTERM or SIGINT; only works in the main thread."""
    stop_requested = threading.Event()

    def handle_signal(number: int, frame: object) -> None:
        del number, frame
        stop_requested.set()

    for number in _SIGNALS:
        signal.signal(number, handle_signal)
    stop_requested.wait()
