"""What the gateway counts, and how a scraper sees it."""

from __future__ import annotations

import bisect
import importlib
from typing import TYPE_CHECKING

import msgspec

from pollenfork import metric_help
from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import replies
from pollenfork.routes import model as routes

if TYPE_CHECKING:
    from pollenfork import metrics

_BOUNDS_S = metric_help.LATENCY_BOUNDS_S


class Latencies(msgspec.Struct):
    """Answers by the bucket of their time.

    Attributes:
        counts: Answers not yet shown to a scraper, by bucket.
        totals_s: Their times added up, by bucket.
    """

    counts: list[int] = msgspec.field(
        default_factory=lambda: [0] * (len(_BOUNDS_S) + 1)
    )
    totals_s: list[float] = msgspec.field(
        default_factory=lambda: [0.0] * (len(_BOUNDS_S) + 1)
    )

    def note(self, seconds: float) -> None:
        """Counts one answer."""
        bucket = bisect.bisect_left(_BOUNDS_S, seconds)
        self.counts[bucket] += 1
        self.totals_s[bucket] += seconds

    def take(self) -> list[float]:
        """Returns times with the same buckets and sum, and forgets them."""
        times = [
            total_s / count
            for count, total_s in zip(self.counts, self.totals_s, strict=True)
            for _ in range(count)
        ]
        self.counts = [0] * len(self.counts)
        self.totals_s = [0.0] * len(self.totals_s)
        return times


class Counters:
    """Counts of answers, refusals and repeats.

    The metrics library takes 12 MB of memory, so it is loaded when somebody
    first asks; until then these are plain numbers.
    """

    def __init__(self) -> None:
        self._latencies: dict[str, Latencies] = {}
        self._refused: dict[replies.Reason, int] = {}
        self._repeats: dict[fleet_messages.End, int] = {}
        self._sent = 0
        self._metrics: metrics.Metrics | None = None

    def note_sent(self) -> None:
        """Counts a request handed to a runner."""
        self._sent += 1

    def note_served(self, route: routes.Route, seconds: float) -> None:
        """Counts an answer of a runner handed to its caller."""
        kind = route.kind.value
        self._latencies.setdefault(kind, Latencies()).note(seconds)

    def note_refused(self, reason: replies.Reason) -> None:
        """Counts an answer of the gateway's own."""
        self._refused[reason] = self._refused.get(reason, 0) + 1

    def note_repeat(self, end: fleet_messages.End) -> None:
        """Counts a further attempt, by how the one before ended."""
        self._repeats[end] = self._repeats.get(end, 0) + 1

    def write(self) -> bytes:
        """Returns all counts in the text form of Prometheus."""
        shown = self._load_metrics()
        shown.set_count("pollenfork_attempts_total", self._sent)
        for reason, count in self._refused.items():
            shown.set_count(
                "pollenfork_refusals_total", count, reason=reason.value
            )
        for end, count in self._repeats.items():
            shown.set_count(
                "pollenfork_relay_retries_total", count, reason=end.value
            )
        for kind, latencies in self._latencies.items():
            for seconds in latencies.take():
                shown.observe("pollenfork_answer_seconds", seconds, kind=kind)
        content, _ = shown.render()
        return content

    def _load_metrics(self) -> metrics.Metrics:
        if self._metrics is None:
            module = importlib.import_module("pollenfork.metrics")
            self._metrics = module.Metrics()
        return self._metrics
