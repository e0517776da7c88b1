"""The event loop of a gateway, whose clock includes time spent suspended."""

import asyncio

from pollenfork import clock


class EventLoop(asyncio.SelectorEventLoop):
    """Uses a clock that advances while the machine is suspended.

    All ages and deadlines of the gateway use this clock: those of proofs, rows,
    loads, crashes, keys and callers' requests. With the ordinary monotonic
    clock, a proof from before a suspension of 5 s would seem 5 s younger than
    it is, and keys revoked meanwhile would be trusted. Timers that expire
    during a suspension fire when it ends, as after a freeze; data that has
    arrived by then is read first.
    """

    def time(self) -> float:
        """Returns seconds since the machine booted, including suspensions."""
        return clock.read_boottime()
