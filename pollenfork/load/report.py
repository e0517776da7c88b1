"""The report of a load run: attainment, goodput, wasted work."""

import collections
from collections.abc import Iterable
import statistics

from hdrh import histogram
import msgspec

from pollenfork.load import outcome as outcomes
from pollenfork.load import scenario as scenarios

_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1000


class EngineWork(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines generated during the run.

    Attributes:
        generated: Number of tokens.
        runs: Number of runs of each request, by label.
    """

    generated: int
    runs: dict[str, int]


class ClassReport(msgspec.Struct, frozen=True, kw_only=True):
    """The results of one class; times in milliseconds.

    Attributes:
        sent: All arrivals, including refused and unsent ones.
        attainment: Share of `sent` answered completely and within targets.
        goodput: Answers within targets, per second of the run.
        reasons: Requests without a complete answer, by `end:reason`.
    """

    sent: int
    whole: int
    attained: int
    attainment: float
    goodput: float
    first_token_p50: float
    first_token_p95: float
    gap_p50: float
    gap_p95: float
    gap_p99: float
    tokens: int
    reasons: dict[str, int]


class Waste(msgspec.Struct, frozen=True, kw_only=True):
    """Generated tokens that reached no client.

    Attributes:
        wasted: Tokens generated, minus those in complete answers.
        share: `wasted` as a share of the tokens generated.
        repeats: Runs of a request beyond its first.
        run_though_refused: Requests refused as `not_run` that did run.
    """

    generated: int
    received: int
    wasted: int
    share: float
    repeats: int
    run_though_refused: int


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The results of one run.

    Attributes:
        duration_s: From the start of the first phase to the end of the last
            answer, or of the last phase if that is later.
        broken: Answers cut off, with gaps or repeats, or with wrong text.
    """

    duration_s: float
    goodput: float
    broken: int
    classes: dict[str, ClassReport]
    waste: Waste | None


def make_report(
    scenario: scenarios.Scenario,
    finished: list[outcomes.Outcome],
    work: EngineWork | None,
) -> Report:
    """Summarizes the outcomes of all requests."""
    planned_s = sum(phase.duration_s for phase in scenario.phases)
    duration_s = max([planned_s, *(outcome.ended_s for outcome in finished)])
    by_class: dict[str, list[outcomes.Outcome]] = {
        name: [] for name in scenario.classes
    }
    for outcome in finished:
        by_class[outcome.class_name].append(outcome)
    classes = {
        name: _report_class(scenario.classes[name], of_class, duration_s)
        for name, of_class in by_class.items()
        if of_class
    }
    faulty = (outcomes.End.BROKEN, outcomes.End.WRONG)
    return Report(
        duration_s=duration_s,
        goodput=sum(figures.goodput for figures in classes.values()),
        broken=sum(outcome.end in faulty for outcome in finished),
        classes=classes,
        waste=_report_waste(finished, work) if work else None,
    )


def _report_class(
    load_class: scenarios.LoadClass,
    finished: list[outcomes.Outcome],
    duration_s: float,
) -> ClassReport:
    whole = [o for o in finished if o.end is outcomes.End.WHOLE]
    attained = sum(_is_attained(load_class, outcome) for outcome in whole)
    first = _make_histogram(
        round(outcome.first_token_ms * _US_PER_MS)
        for outcome in finished
        if outcome.first_token_ms is not None
    )
    gaps = _make_histogram(gap for o in finished for gap in o.gaps_us)
    reasons = collections.Counter(
        f"{o.end.value}:{o.reason}"
        for o in finished
        if o.end is not outcomes.End.WHOLE
    )
    return ClassReport(
        sent=len(finished),
        whole=len(whole),
        attained=attained,
        attainment=attained / len(finished),
        goodput=attained / duration_s,
        first_token_p50=_get_percentile_ms(first, 50),
        first_token_p95=_get_percentile_ms(first, 95),
        gap_p50=_get_percentile_ms(gaps, 50),
        gap_p95=_get_percentile_ms(gaps, 95),
        gap_p99=_get_percentile_ms(gaps, 99),
        tokens=sum(outcome.tokens for outcome in finished),
        reasons=dict(sorted(reasons.items())),
    )


def _is_attained(
    load_class: scenarios.LoadClass, outcome: outcomes.Outcome
) -> bool:
    if outcome.first_token_ms is None:
        return False
    if outcome.first_token_ms > load_class.target_first_token_ms:
        return False
    if not outcome.gaps_us:
        return True
    mean_gap_ms = statistics.fmean(outcome.gaps_us) / _US_PER_MS
    return mean_gap_ms <= load_class.target_gap_ms


def _report_waste(finished: list[outcomes.Outcome], work: EngineWork) -> Waste:
    received = sum(o.tokens for o in finished if o.end is outcomes.End.WHOLE)
    wasted = work.generated - received
    refused = [o.label for o in finished if o.end is outcomes.End.REFUSED]
    return Waste(
        generated=work.generated,
        received=received,
        wasted=wasted,
        share=wasted / work.generated if work.generated else 0.0,
        repeats=sum(max(0, count - 1) for count in work.runs.values()),
        run_though_refused=sum(work.runs.get(name, 0) > 0 for name in refused),
    )


def _make_histogram(values_us: Iterable[int]) -> histogram.HdrHistogram:
    values = histogram.HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
    for value in values_us:
        values.record_value(max(1, value))
    return values


def _get_percentile_ms(
    values: histogram.HdrHistogram, percentile: float
) -> float:
    value_us: int = values.get_value_at_percentile(percentile)
    return value_us / _US_PER_MS
