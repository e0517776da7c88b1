"""The pump's progress reports."""

import socket
import threading

from pollenfork import clock
from pollenfork.answers import answer_buffer
from pollenfork.answers import events
from pollenfork.answers import pump


def test_progress_of_a_running_stream_is_reported_periodically() -> None:
    now = clock.ManualClock()
    running = pump.Pump(now, stall_s=1000.0)
    engine, source = socket.socketpair()
    reported = threading.Semaphore(0)
    stream = pump.PumpedStream(
        source,
        events.EventReader(1000),
        answer_buffer.AnswerBuffer(0),
        lambda data: None,
        lambda: 0,
        reported.release,
    )
    running.start()
    forwarding = threading.Thread(target=running.forward, args=(stream,))
    forwarding.start()
    for _ in range(3):
        assert not reported.acquire(blocking=False)
        now.advance(2.5)
        engine.send(b": wakes the pump\n\n")
        assert reported.acquire(timeout=20)
    running.stop()
    forwarding.join(20)
    engine.close()
    source.close()
