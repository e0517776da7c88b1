"""The event loop of a gateway, whose time counts suspension."""

import asyncio

from pollenfork import clock


class EventLoop(asyncio.SelectorEventLoop):
    """Reads a clock that goes on while the machine is suspended.

    Every age of the gateway goes by this time: of proofs, rows, loads, ends of
    runners, of keys and of callers' deadlines. On the steady clock a proof from
    before a suspension of 5 s would seem 5 s younger than it is, and keys taken
    away meanwhile would be trusted. Timers that fall due in a suspension run
    as it ends, as after a freeze; what has arrived by then is read first.
    """

    def time(self) -> float:
        """Returns seconds since the machine started, suspension included."""
        return clock.read_boottime()
