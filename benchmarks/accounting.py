"""CPU time of what the entry counts: for each request, and for each event.

`python -m benchmarks.accounting` prints a table and writes
`benchmarks/results/accounting.json`. CPU time of one thread, the best of five
rounds; the machine may be shared.
"""

from collections.abc import Callable, Iterable
import json
import logging
import pathlib
import time

from pollenfork import clock
from pollenfork import ids
from pollenfork import metrics
from pollenfork.entry import progress
from pollenfork.entry import request_log

RESULTS = pathlib.Path(__file__).parent / "results" / "accounting.json"
ROUNDS = 5
REQUESTS = 5_000
EVENTS = 500_000
SCRAPES = 50
CLASSES = 50


def measure(work: Callable[[], None], count: int) -> float:
    """Returns microseconds of CPU for each of `count` pieces of work."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.thread_time()
        work()
        best = min(best, time.thread_time() - started)
    return best / count * 1e6


def measure_requests() -> float:
    """Returns microseconds for one request's log, logs formatted."""
    with pathlib.Path("/dev/null").open("w") as nowhere:
        handler = logging.StreamHandler(nowhere)
        logger = logging.getLogger("pollenfork")
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        per_request = measure(_make_requests(), REQUESTS)
        logger.removeHandler(handler)
    return per_request


def _make_requests() -> Callable[[], None]:
    counted = request_log.RequestLogFactory(
        metrics.Metrics(), clock.SystemClock(), request_log.make_request_id
    )

    def work() -> None:
        for number in range(REQUESTS):
            log = counted.start()
            log.team = ids.Team("linework")
            log.service_class = ids.ClassName(f"c{number % CLASSES}")
            log.record_granted(ids.EndpointId("runner-1"))
            log.record_first_bytes()
            log.record_end(200, ended=True)

    return work


def measure_events(watched: bool) -> float:
    """Returns microseconds for passing one event on."""
    events = [b"x"] * EVENTS

    def work() -> None:
        chunks: Iterable[bytes] = iter(events)
        if watched:
            seen = progress.ObservedChunks(
                chunks, lambda: None, lambda ended: None
            )
            chunks = progress.CloseOnceChunks(seen, lambda: None)
        for _ in chunks:
            pass

    return measure(work, EVENTS)


def measure_scrapes() -> float:
    """Returns microseconds for one scrape with fifty classes."""
    scraped = metrics.Metrics()
    for number in range(CLASSES):
        for name in ("first_token", "request_wait", "answer"):
            scraped.observe(
                f"pollenfork_{name}_seconds",
                0.3,
                team="linework",
                service_class=f"c{number}",
            )

    def work() -> None:
        for _ in range(SCRAPES):
            scraped.render()

    return measure(work, SCRAPES)


def main() -> None:
    """Measures, prints and writes the figures."""
    figures = {
        "request_us": round(measure_requests(), 1),
        "event_us": round(measure_events(watched=True), 4),
        "event_bare_us": round(measure_events(watched=False), 4),
        "scrape_50_classes_us": round(measure_scrapes(), 1),
    }
    for name, value in figures.items():
        print(f"{name:24}{value:>12}")
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
