"""What the log costs a gateway for each request served in time.

A request writes one line when its runner is chosen and one when its answer is
whole. Both go through the real formatter and handler to a file that keeps
nothing. Baseline of the ratio: the same calls with logging switched off.
"""

import json
import logging
import pathlib
import time

from pollenfork import logs

_REQUESTS = 20_000
_CHOSEN = (
    "event=chosen request=%s route=%s tier=%d configuration=%d age_ms=%d "
    "runner=%s waited_ms=%d cost_ms=%d unread=%d holders=%d kept_cost_ms=%d "
    "crowd_ms=%d own=%d parts=%d loads_age_ms=%s left_ms=%d"
)
_ANSWERED = (
    "event=answered request=%s route=%s runner=%s status=%d took_ms=%d "
    "first_ms=%d target_ms=%d gap_ms=%d gap_target_ms=%d sent=%d"
)


def measure() -> dict[str, float]:
    """Returns bytes and microseconds of processor time for a request."""
    with open("/dev/null", "w") as stream:
        handler = logs.configure_bounded(stream, "front-amman-b-1")
        handler.RATE = handler.BURST = 1e9
        handler.RESERVE = 0.0
        on_us = _time_requests()
        size = _count_bytes(handler)
        logging.disable()
        off_us = _time_requests()
        logging.disable(logging.NOTSET)
    return {
        "requests": _REQUESTS,
        "bytes": size,
        "on_us": round(on_us, 1),
        "off_us": round(off_us, 2),
        "ratio": round(on_us / off_us, 1),
    }


def _write_lines(log: logging.Logger) -> None:
    log.info(
        _CHOSEN,
        "9697e8ab498c4b2a", "r-qinzjy6", 5, 14, 274, "i-08f88a11d6",
        822.4, 833.1, 20037, 0, 0.0, 761.2, 1161.0, 2, 44, 9174.5,
        extra=logs.ORDINARY,
    )  # fmt: skip
    log.info(
        _ANSWERED,
        "9697e8ab498c4b2a", "r-qinzjy6", "i-08f88a11d6", 200, 4040.2,
        2208.3, 1500.0, 184.1, 800.0, 1,
        extra=logs.ORDINARY,
    )  # fmt: skip


def _time_requests() -> float:
    log = logging.getLogger("pollenfork.gateway.exchange")
    begun = time.process_time()
    for _ in range(_REQUESTS):
        _write_lines(log)
    return (time.process_time() - begun) / _REQUESTS * 1e6


def _count_bytes(handler: logging.Handler) -> int:
    """Returns the bytes of one request's lines."""
    size = 0

    def count(record: logging.LogRecord) -> bool:
        nonlocal size
        size += len(handler.format(record)) + 1
        return False

    handler.addFilter(count)
    _write_lines(logging.getLogger("pollenfork.gateway.exchange"))
    handler.removeFilter(count)
    return size


if __name__ == "__main__":
    result = json.dumps(measure(), indent=1)
    path = pathlib.Path(__file__).parent / "results" / "log_cost.json"
    path.write_text(result + "\n")
    print(result)
