"""The gateway's counters and latencies, and their export as metrics."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
import importlib
from typing import TYPE_CHECKING

import msgspec

from pollenfork import ids
from pollenfork import metric_help
from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import attempt
from pollenfork.gateway import replies
from pollenfork.gateway import retries
from pollenfork.gateway.shedding import limits as shedding_limits
from pollenfork.returns import edges as returns
from pollenfork.routes import model as routes

if TYPE_CHECKING:
    from pollenfork import metrics

_BOUNDS_S = metric_help.LATENCY_BOUNDS_S
_RETURN_METRICS = {
    returns.ReturnEvent.PLANNED: "pollenfork_returns_planned_total",
    returns.ReturnEvent.UNPLANNED: "pollenfork_returns_unplanned_total",
    returns.ReturnEvent.KEPT: "pollenfork_returns_kept_total",
    returns.ReturnEvent.EARLY: "pollenfork_returns_early_total",
}


class AnswerLatency(msgspec.Struct, frozen=True):
    """The latencies of a runner's answer, in seconds.

    Attributes:
        whole_s: From the request's arrival to the answer's end.
        first_s: From the arrival to the first event, or to the end of an
            answer without events.
        gap_s: The longest pause between events.
    """

    whole_s: float
    first_s: float
    gap_s: float = 0.0

    def meets(self, route: routes.Route) -> bool:
        """Returns whether it was within its route's targets."""
        in_time = not route.target_s or self.first_s <= route.target_s
        return in_time and (not route.gap_s or self.gap_s <= route.gap_s)


class Latencies(msgspec.Struct):
    """Observed times by bucket, until the next scrape.

    Attributes:
        counts: The number of observations since the last scrape, by bucket.
        totals_s: Their sums in seconds, by bucket.
    """

    counts: list[int] = msgspec.field(
        default_factory=lambda: [0] * (len(_BOUNDS_S) + 1)
    )
    totals_s: list[float] = msgspec.field(
        default_factory=lambda: [0.0] * (len(_BOUNDS_S) + 1)
    )

    def note(self, seconds: float) -> None:
        """Adds one observation."""
        bucket = bisect.bisect_left(_BOUNDS_S, seconds)
        self.counts[bucket] += 1
        self.totals_s[bucket] += seconds

    def take(self) -> list[float]:
        """Returns times with the same buckets and sum, and resets them."""
        times = [
            total_s / count
            for count, total_s in zip(self.counts, self.totals_s, strict=True)
            for _ in range(count)
        ]
        self.counts = [0] * len(self.counts)
        self.totals_s = [0.0] * len(self.totals_s)
        return times


class Series(msgspec.Struct, frozen=True):
    """A metric with the labels of one time series.

    Attributes:
        metric: The metric's name.
        kind: Whether and how the requests may be retried.
        tier: The urgency of the requests' route.
    """

    metric: str
    kind: str
    tier: int

    @classmethod
    def of(cls, metric: str, route: routes.Route) -> Series:
        """Returns the series of a route's requests.

        The route isn't a label, because hundreds of routes come and go.
        """
        return cls(metric, route.kind.value, route.tier)


class Counters:
    """Counts answers, refusals and retries.

    The metrics library takes 12 MB of memory, so it is loaded at the first
    scrape; until then these are plain numbers.
    """

    def __init__(self) -> None:
        self._latencies: dict[Series, Latencies] = {}
        self._targets: dict[Series, int] = {}
        self._refused: dict[replies.Reason, int] = {}
        self._refused_by_tier: collections.Counter[
            tuple[replies.Reason, ids.Tier]
        ] = collections.Counter()
        self._admitted: collections.Counter[
            tuple[shedding_limits.Admission, ids.Tier]
        ] = collections.Counter()
        self._cut: dict[replies.Reason, int] = {}
        self._repeats: dict[fleet_messages.End, int] = {}
        self._not_repeated: dict[retries.RetryDecision, int] = {}
        self._returns = dict.fromkeys(returns.ReturnEvent, 0)
        # Keyed by what showed the end, or by how the stream broke off.
        self._stream_runs: collections.Counter[str] = collections.Counter()
        self._sent = 0
        self._gone = 0
        self._preemptions_suspected = 0
        self._metrics: metrics.Metrics | None = None
        self._on_shown: list[Callable[[metrics.Metrics], None]] = []

    def when_scraped(self, callback: Callable[[metrics.Metrics], None]) -> None:
        """Calls `callback` at each scrape, to export further metrics."""
        self._on_shown.append(callback)

    def record_attempt(self) -> None:
        """Counts a request sent to a runner."""
        self._sent += 1

    def record_wait(self, route: routes.Route, seconds: float) -> None:
        """Records how long a request waited until a runner was chosen."""
        self._observe("pollenfork_request_wait_seconds", route, seconds)

    def record_served(self, route: routes.Route, served: AnswerLatency) -> None:
        """Counts an answer of a runner that was sent to its caller."""
        self._observe("pollenfork_answer_seconds", route, served.whole_s)
        self._observe("pollenfork_first_token_seconds", route, served.first_s)
        if route.kind is routes.Kind.STREAM:
            self._observe("pollenfork_event_gap_seconds", route, served.gap_s)
        metric = "pollenfork_targets_missed_total"
        if served.meets(route):
            metric = "pollenfork_targets_met_total"
        series = Series.of(metric, route)
        self._targets[series] = self._targets.get(series, 0) + 1

    def record_refused(
        self, reason: replies.Reason, tier: ids.Tier | None = None
    ) -> None:
        """Counts a request that the gateway itself refused.

        Args:
            reason: Why.
            tier: Its tier; None: it has none, as it wasn't admitted.
        """
        self._refused[reason] = self._refused.get(reason, 0) + 1
        if tier is not None:
            self._refused_by_tier[reason, tier] += 1

    def record_admission(
        self, tier: ids.Tier, admission: shedding_limits.Admission
    ) -> None:
        """Counts a request that is sent to its first runner."""
        self._admitted[admission, tier] += 1

    def record_cut(self, reason: replies.Reason) -> None:
        """Counts a stream that the gateway cut off after it had begun."""
        self._cut[reason] = self._cut.get(reason, 0) + 1

    def record_retry(self, end: fleet_messages.End) -> None:
        """Counts a retry, by how the previous attempt ended."""
        self._repeats[end] = self._repeats.get(end, 0) + 1

    def record_not_retried(self, sequel: retries.RetryDecision) -> None:
        """Counts a failed attempt that isn't retried, by reason."""
        count = self._not_repeated.get(sequel, 0)
        self._not_repeated[sequel] = count + 1

    def record_return(self, event: returns.ReturnEvent) -> None:
        """Counts a refused caller's return, by what became of it."""
        self._returns[event] += 1

    def record_disconnect(self) -> None:
        """Counts a caller that disconnected before its answer was complete."""
        self._gone += 1

    def record_stream_run(self, ended: attempt.AttemptResult) -> None:
        """Counts the end of an attempt, if its answer was streamed."""
        if ended.run is None:
            return
        if ended.end is fleet_messages.End.WHOLE:
            kind = ended.proof.value
        else:
            kind = ended.failure.value if ended.failure else ended.end.value
        self._stream_runs[kind] += 1

    def record_preemption(self) -> None:
        """Counts an answer whose request was probably preempted."""
        self._preemptions_suspected += 1

    def write(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        output = self._load_metrics()
        output.set_count("pollenfork_attempts_total", self._sent)
        output.set_count("pollenfork_callers_gone_total", self._gone)
        for event, count in self._returns.items():
            output.set_count(_RETURN_METRICS[event], count)
        output.set_count(
            "pollenfork_preemptions_suspected_total",
            self._preemptions_suspected,
        )
        _show(output, "pollenfork_refusals_total", self._refused)
        for (reason, tier), count in self._refused_by_tier.items():
            output.set_count(
                "pollenfork_refusals_by_tier_total",
                count,
                reason=reason.value,
                tier=str(tier),
            )
        for (admission, tier), count in self._admitted.items():
            output.set_count(
                "pollenfork_admissions_total",
                count,
                admission=admission.value,
                tier=str(tier),
            )
        _show(output, "pollenfork_streams_cut_total", self._cut)
        _show(output, "pollenfork_relay_retries_total", self._repeats)
        _show(output, "pollenfork_not_repeated_total", self._not_repeated)
        for kind, count in self._stream_runs.items():
            output.set_count("pollenfork_stream_runs_total", count, end=kind)
        for series, count in self._targets.items():
            output.set_count(series.metric, count, **_label(series))
        for series, latencies in self._latencies.items():
            for seconds in latencies.take():
                output.observe(series.metric, seconds, **_label(series))
        for show in self._on_shown:
            show(output)
        content, _ = output.render()
        return content

    def _observe(
        self, metric: str, route: routes.Route, seconds: float
    ) -> None:
        series = Series.of(metric, route)
        self._latencies.setdefault(series, Latencies()).note(seconds)

    def _load_metrics(self) -> metrics.Metrics:
        if self._metrics is None:
            module = importlib.import_module("pollenfork.metrics")
            self._metrics = module.Metrics()
        return self._metrics


def _label(series: Series) -> dict[str, str]:
    return {"kind": series.kind, "tier": str(series.tier)}


def _show(
    output: metrics.Metrics,
    metric: str,
    counts: dict[replies.Reason, int]
    | dict[fleet_messages.End, int]
    | dict[retries.RetryDecision, int],
) -> None:
    for reason, count in counts.items():
        output.set_count(metric, count, reason=reason.value)
