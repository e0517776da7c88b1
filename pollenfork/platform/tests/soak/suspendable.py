"""Runs a gateway whose machine can be suspended, as far as clocks show it.

On a signal the clocks that count suspension jump ahead, and the steady one
doesn't. No process can suspend its machine, and one that is stopped sees both
go on.
"""

import runpy
import signal
import time

from pollenfork.platform.tests.soak import partitions

SIGNAL = signal.SIGUSR1
# How long the machine is suspended, in seconds: longer than any key is trusted
# without proof.
SUSPENDED_S = 5.0

_slept_s = 0.0
_read_clock = time.clock_gettime
_read_wall = time.time


def main() -> None:
    """Runs the gateway."""
    signal.signal(SIGNAL, _suspend)
    time.clock_gettime = _read
    time.time = lambda: _read_wall() + _slept_s
    partitions.install()
    runpy.run_module("pollenfork.platform", run_name="__main__")


def _suspend(number: int, frame: object) -> None:
    global _slept_s
    _slept_s += SUSPENDED_S


def _read(clock: int) -> float:
    counts = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
    return _read_clock(clock) + (_slept_s if counts else 0.0)


if __name__ == "__main__":
    main()
