"""What one run came to, and how several runs read as a table."""

from collections.abc import Iterable, Sequence
import statistics

import msgspec

from benchmarks.decisions import driver
from benchmarks.decisions import workload
from pollenfork import decisions


class Result(msgspec.Struct):
    """The figures of one run.

    Attributes:
        met: Attainment by class: targets met, answer whole.
        served: Whole answers by class, late ones included.
        refused: Refused by class.
        goodput: Requests per second that met their targets.
        goodput_tokens: Their tokens per second.
        waste: Part of the generated tokens that no caller got, or that were
            repeats; those of a lost entry instance included.
        abandoned: Part of the generated tokens whose caller went away.
        amplification: Attempts sent per request that was sent.
        saved_tokens: Tokens not generated again thanks to continuation.
        predicted_right: Part of the waits predicted within half, or 0.5 s.
        return_met: Part of the returning callers served in time.
    """

    met: dict[str, float]
    served: dict[str, float]
    refused: dict[str, float]
    goodput: float
    goodput_tokens: float
    waste: float
    abandoned: float
    amplification: float
    saved_tokens: int
    predicted_right: float | None
    return_met: float | None
    ejections: int


def measure(world: driver.World, seconds: float) -> Result:
    """Returns the figures of a run that has ended."""
    records = world.records
    met = [r for r in records if r.is_met()]
    generated = sum(e.generated for e in world.engines.values())
    sent = sum(1 for r in records if r.sent)
    returned = [r for r in records if r.returned_at is not None]
    return_met = sum(r.is_met_on_return() for r in returned)
    cores = [
        i for i in world.instances if isinstance(i, decisions.DecisionCore)
    ]
    predictions = sum(i.counters.predictions for i in cores)
    right = sum(i.counters.predictions_right for i in cores)
    return Result(
        met=_rate(records, lambda r: r.is_met()),
        served=_rate(records, lambda r: r.done_at is not None),
        refused=_rate(
            records, lambda r: r.refused is not None and r.done_at is None
        ),
        goodput=len(met) / seconds,
        goodput_tokens=sum(r.delivered for r in met) / seconds,
        waste=(world.wasted + world.lost_with_instance) / max(1, generated),
        abandoned=world.abandoned / max(1, generated),
        amplification=world.attempts / max(1, sent),
        saved_tokens=sum(r.saved for r in records),
        predicted_right=right / predictions if predictions else None,
        return_met=return_met / len(returned) if returned else None,
        ejections=sum(i.counters.ejections for i in cores),
    )


def write_table(
    rows: Iterable[tuple[str, str, Sequence[Result]]],
) -> list[str]:
    """Returns a Markdown table of rows named by case and policy."""
    names = [kind.name for kind in workload.KINDS]
    head = [
        "case",
        "policy",
        *names,
        "goodput/s",
        "tokens/s",
        "waste",
        "sent/request",
    ]
    lines = ["| " + " | ".join(head) + " |", "| --- " * len(head) + "|"]
    for case, policy, results in rows:
        cells = [case, policy]
        cells += [_write_class(results, name) for name in names]
        cells += [
            _spread([r.goodput for r in results], 2),
            _spread([r.goodput_tokens for r in results], 0),
            f"{_mean([r.waste for r in results]):.2%}",
            _spread([r.amplification for r in results], 3),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def _write_class(results: Sequence[Result], name: str) -> str:
    met = [100 * r.met[name] for r in results if name in r.met]
    served = [100 * r.served[name] for r in results if name in r.served]
    if not met:
        return "-"
    return f"{_spread(met, 1)} ({_mean(served):.0f})"


def _spread(values: Sequence[float], digits: int) -> str:
    middle = _mean(values)
    if len(values) < 2:
        return f"{middle:.{digits}f}"
    reach = (max(values) - min(values)) / 2
    return f"{middle:.{digits}f}±{reach:.{digits}f}"


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def _rate(records, holds) -> dict[str, float]:  # type: ignore[no-untyped-def]
    totals: dict[str, int] = {}
    counts: dict[str, int] = {}
    for record in records:
        name = record.arrival.kind.name
        totals[name] = totals.get(name, 0) + 1
        counts[name] = counts.get(name, 0) + bool(holds(record))
    return {name: counts[name] / total for name, total in totals.items()}
