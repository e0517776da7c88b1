"""Processes of simulated hosts stand still and go on."""

import asyncio

from pollenfork.platform.tests.simulation import clock

_STALLED = "10.1.0.1"


def test_what_is_due_at_a_host_that_stands_still_runs_in_order_later() -> None:
    loop = clock.Loop()
    loop.allow_stalls()
    ran: list[tuple[str, float]] = []

    def note(name: str) -> None:
        ran.append((name, round(loop.time(), 3)))

    async def play() -> None:
        loop.stall(_STALLED, 0.5)
        loop.run_at(_STALLED, note, "datagram")
        loop.run_at("10.1.0.2", note, "elsewhere")
        clock.HERE.set(_STALLED)
        loop.call_later(0.2, note, "timer")
        cancelled = loop.call_later(0.3, note, "cancelled")
        clock.HERE.set("")
        await asyncio.sleep(0.4)
        cancelled.cancel()
        await asyncio.sleep(1.0)

    loop.run_until_complete(play())
    loop.close()
    assert ran == [("elsewhere", 0.0), ("datagram", 0.5), ("timer", 0.5)]
