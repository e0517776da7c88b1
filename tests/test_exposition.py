"""Scrapes export the counters that components keep."""

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


def read_samples(output: metrics.Metrics) -> dict[str, float]:
    lines = output.render()[0].decode().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines if line[0] != "#")
    return {
        name.removeprefix("pollenfork_"): float(value) for name, value in pairs
    }


def test_each_scrape_exports_the_current_counts() -> None:
    output = metrics.Metrics()
    relay_counters = counters.Counters()
    source: Any = Scheduler()
    server_counters = server.ServerCounters()
    in_progress = progress.InProgress()
    exposition.register_relay(output, relay_counters)
    exposition.register_scheduler(output, source)
    exposition.register_entry(output, in_progress, server_counters)

    for number in (1, 2):
        relay_counters.count(relay_counters.cancels, "caller_gone")
        relay_counters.count(relay_counters.resumes, "closed")
        relay_counters.add_answer(finished=True, tokens=20, duplicates=3)
        source.counters.refusals = {"queue_full": 5 * number}
        source.counters.attempts = 7 * number
        server_counters.full += 1
        in_progress.enter()
        samples = read_samples(output)
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
