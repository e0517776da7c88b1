"""Text report of losses.

It has a table by route, the errors of forecasts, the causes and a plot over
time.
"""

from typing import TextIO

from pollenfork.logbook import losses as loss_counts

# Width of a full bar of the plot, in characters.
_BAR_WIDTH = 40
_MAX_CAUSES = 20


def write(losses: loss_counts.Losses, out: TextIO) -> None:
    """Writes the report, most frequent causes first."""
    if losses.missing:
        out.write(
            f"{losses.missing} lines are missing, those of requests that went"
            " well first: shares are too low\n"
        )
    names = [outcome.value for outcome in loss_counts.Outcome]
    _write_row("route", [*names, "share"], out)
    for route, outcomes in sorted(losses.routes.items()):
        counts = [str(outcomes[outcome]) for outcome in loss_counts.Outcome]
        _write_row(
            route or "-", [*counts, f"{_compute_share(outcomes):.3f}"], out
        )
    if losses.errors:
        _write_errors(losses.errors, out)
    out.write("causes\n")
    for (route, outcome, cause), count in losses.causes.most_common(
        _MAX_CAUSES
    ):
        out.write(f"{count:8}  {route or '-'}  {outcome.value}: {cause}\n")
    out.write("answered in time, by seconds since the first request\n")
    for interval, outcomes in sorted(losses.intervals.items()):
        share = _compute_share(outcomes)
        bar = "#" * round(share * _BAR_WIDTH)
        out.write(
            f"{interval:8.0f}  {bar:{_BAR_WIDTH}}  {share:.3f}"
            f" of {outcomes.total()}\n"
        )


def _write_errors(
    errors: dict[str, loss_counts.ForecastErrors], out: TextIO
) -> None:
    out.write("first event, ms observed less forecast\n")
    _write_row("route", ["answers", "p10", "p50", "p90"], out)
    for route, error in sorted(errors.items()):
        values = [error.count, error.p10, error.p50, error.p90]
        _write_row(route or "-", [str(each) for each in values], out)


def _write_row(name: str, values: list[str], out: TextIO) -> None:
    out.write(f"{name:16}" + "".join(f"{each:>9}" for each in values) + "\n")


def _compute_share(outcomes: loss_counts.Outcomes) -> float:
    return outcomes[loss_counts.Outcome.IN_TIME] / outcomes.total()
