"""Simulated hosts can be stalled and resumed."""

import asyncio

from pollenfork.platform.tests.simulation import clock

_STALLED = "10.1.0.1"


def test_callbacks_of_a_stalled_host_run_later_and_in_order() -> None:
    loop = clock.Loop()
    loop.allow_stalls()
    ran: list[tuple[str, float]] = []

    def record(name: str) -> None:
        ran.append((name, round(loop.time(), 3)))

    async def run() -> None:
        loop.stall(_STALLED, 0.5)
        loop.run_at(_STALLED, record, "datagram")
        loop.run_at("10.1.0.2", record, "elsewhere")
        clock.HERE.set(_STALLED)
        loop.call_later(0.2, record, "timer")
        cancelled = loop.call_later(0.3, record, "cancelled")
        clock.HERE.set("")
        await asyncio.sleep(0.4)
        cancelled.cancel()
        await asyncio.sleep(1.0)

    loop.run_until_complete(run())
    loop.close()
    assert ran == [("elsewhere", 0.0), ("datagram", 0.5), ("timer", 0.5)]
