"""The pump's own reports of how far streams have come."""

import socket
import threading

from pollenfork import clock
from pollenfork.answers import events
from pollenfork.answers import kept
from pollenfork.answers import pump


def test_progress_of_a_running_stream_is_reported_again_and_again() -> None:
    now = clock.ManualClock()
    moving = pump.Pump(now, stall_s=1000.0)
    engine, source = socket.socketpair()
    noted = threading.Semaphore(0)
    flow = pump.Flow(
        source,
        events.EventReader(1000),
        kept.KeptAnswer(0),
        lambda data: None,
        lambda: 0,
        noted.release,
    )
    moving.start()
    carrying = threading.Thread(target=moving.carry, args=(flow,))
    carrying.start()
    for _ in range(3):
        assert not noted.acquire(blocking=False)
        now.advance(2.5)
        engine.send(b": wakes the pump\n\n")
        assert noted.acquire(timeout=20)
    moving.stop()
    carrying.join(20)
    engine.close()
    source.close()
