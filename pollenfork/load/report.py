"""The report of a load run: attainment, goodput, wasted work."""

import collections
from collections.abc import Iterable
import statistics

from hdrh import histogram
import msgspec

from pollenfork.load import outcome as outcomes
from pollenfork.load import scenario as scenarios

_LONGEST_US = 3_600_000_000
_DIGITS = 3
_US_PER_MS = 1000


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines did in the run.

    Attributes:
        generated: Tokens.
        runs: How often each request ran, by label.
    """

    generated: int
    runs: dict[str, int]


class ClassReport(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one class; times in milliseconds.

    Attributes:
        sent: All arrivals, refused and unsent ones too.
        attainment: Part of `sent` answered whole and within its targets.
        goodput: Such answers per second of the run.
        reasons: Requests without a whole answer, by `end:reason`.
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
    """Work that no caller got.

    Attributes:
        wasted: Tokens generated, minus those in whole answers.
        share: The part of the tokens generated.
        repeats: Runs of a request beyond its first.
        run_though_refused: Requests told `not_run` that ran.
    """

    generated: int
    received: int
    wasted: int
    share: float
    repeats: int
    run_though_refused: int


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The report of one run.

    Attributes:
        duration_s: From the first arrival's phase to the last answer's end.
        broken: Answers cut off, with gaps or repeats, or with wrong text.
    """

    duration_s: float
    goodput: float
    broken: int
    classes: dict[str, ClassReport]
    waste: Waste | None


def make_report(
    scenario: scenarios.Scenario,
    ended: list[outcomes.Outcome],
    work: Work | None,
) -> Report:
    """Returns the report of what became of all requests."""
    planned_s = sum(phase.duration_s for phase in scenario.phases)
    duration_s = max([planned_s, *(outcome.ended_s for outcome in ended)])
    by_class: dict[str, list[outcomes.Outcome]] = {
        name: [] for name in scenario.classes
    }
    for outcome in ended:
        by_class[outcome.class_name].append(outcome)
    classes = {
        name: _report_class(scenario.classes[name], outcome, duration_s)
        for name, outcome in by_class.items()
        if outcome
    }
    bad = (outcomes.End.BROKEN, outcomes.End.WRONG)
    return Report(
        duration_s=duration_s,
        goodput=sum(figures.goodput for figures in classes.values()),
        broken=sum(outcome.end in bad for outcome in ended),
        classes=classes,
        waste=_report_waste(ended, work) if work else None,
    )


def _report_class(
    kind: scenarios.LoadClass,
    ended: list[outcomes.Outcome],
    duration_s: float,
) -> ClassReport:
    whole = [o for o in ended if o.end is outcomes.End.WHOLE]
    attained = sum(_is_attained(kind, outcome) for outcome in whole)
    first = _make_histogram(
        round(outcome.first_token_ms * _US_PER_MS)
        for outcome in ended
        if outcome.first_token_ms is not None
    )
    gaps = _make_histogram(gap for o in ended for gap in o.gaps_us)
    reasons = collections.Counter(
        f"{o.end.value}:{o.reason}"
        for o in ended
        if o.end is not outcomes.End.WHOLE
    )
    return ClassReport(
        sent=len(ended),
        whole=len(whole),
        attained=attained,
        attainment=attained / len(ended),
        goodput=attained / duration_s,
        first_token_p50=_read_ms(first, 50),
        first_token_p95=_read_ms(first, 95),
        gap_p50=_read_ms(gaps, 50),
        gap_p95=_read_ms(gaps, 95),
        gap_p99=_read_ms(gaps, 99),
        tokens=sum(outcome.tokens for outcome in ended),
        reasons=dict(sorted(reasons.items())),
    )


def _is_attained(kind: scenarios.LoadClass, outcome: outcomes.Outcome) -> bool:
    if outcome.first_token_ms is None:
        return False
    if outcome.first_token_ms > kind.target_first_token_ms:
        return False
    if not outcome.gaps_us:
        return True
    mean_gap_ms = statistics.fmean(outcome.gaps_us) / _US_PER_MS
    return mean_gap_ms <= kind.target_gap_ms


def _report_waste(ended: list[outcomes.Outcome], work: Work) -> Waste:
    received = sum(o.tokens for o in ended if o.end is outcomes.End.WHOLE)
    wasted = work.generated - received
    refused = [o.label for o in ended if o.end is outcomes.End.REFUSED]
    return Waste(
        generated=work.generated,
        received=received,
        wasted=wasted,
        share=wasted / work.generated if work.generated else 0.0,
        repeats=sum(max(0, count - 1) for count in work.runs.values()),
        run_though_refused=sum(work.runs.get(name, 0) > 0 for name in refused),
    )


def _make_histogram(values_us: Iterable[int]) -> histogram.HdrHistogram:
    made = histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
    for value in values_us:
        made.record_value(max(1, value))
    return made


def _read_ms(made: histogram.HdrHistogram, percentile: float) -> float:
    value_us: int = made.get_value_at_percentile(percentile)
    return value_us / _US_PER_MS
