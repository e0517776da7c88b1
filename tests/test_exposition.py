"""What parts count for themselves appears in the scrape."""

from typing import Any

from pollenfork import exposition
from pollenfork import metrics
from pollenfork.answers import counters
from pollenfork.dispatch import budget
from pollenfork.entry import progress
from pollenfork.entry import server


class Scheduler:
    def __init__(self) -> None:
        self.counters = budget.Counters()

    def read_counters(self) -> budget.Counters:
        return self.counters


def read_samples(scraped: metrics.Metrics) -> dict[str, float]:
    lines = scraped.render()[0].decode().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines if line[0] != "#")
    return {
        name.removeprefix("pollenfork_"): float(value) for name, value in pairs
    }


def test_each_scrape_reads_what_the_parts_counted() -> None:
    scraped = metrics.Metrics()
    relayed = counters.Counters()
    scheduling: Any = Scheduler()
    served = server.ServerCounters()
    in_progress = progress.InProgress()
    exposition.register_relay(scraped, relayed)
    exposition.register_scheduler(scraped, scheduling)
    exposition.register_entry(scraped, in_progress, served)

    for number in (1, 2):
        relayed.count(relayed.cancels, "caller_gone")
        relayed.count(relayed.resumes, "closed")
        relayed.add_answer(finished=True, tokens=20, duplicates=3)
        scheduling.counters.refusals = {"queue_full": 5 * number}
        scheduling.counters.attempts = 7 * number
        served.full += 1
        in_progress.enter()
        samples = read_samples(scraped)
        expected = {
            'cancels_total{reason="caller_gone"}': number,
            'resumes_total{reason="closed"}': number,
            "whole_answers_total": number,
            "tokens_relayed_total": 20 * number,
            "duplicate_events_total": 3 * number,
            'scheduler_refusals_total{reason="queue_full"}': 5 * number,
            "attempts_total": 7 * number,
            "full_refusals_total": number,
            "requests_in_progress": number,
        }
        assert expected.items() <= samples.items()
