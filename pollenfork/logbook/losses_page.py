"""Losses as text: a table by route, the causes, a plot over time."""

from typing import TextIO

from pollenfork.logbook import losses as counted

# Width of a full bar, in characters.
_BAR = 40
_MOST_CAUSES = 20


def write(losses: counted.Losses, out: TextIO) -> None:
    """Writes all of it, the most frequent causes first."""
    if losses.missing:
        out.write(
            f"{losses.missing} lines are missing, those of requests that went"
            " well first: shares are too low\n"
        )
    names = [outcome.value for outcome in counted.Outcome]
    _write_row("route", [*names, "share"], out)
    for route, outcomes in sorted(losses.routes.items()):
        counts = [str(outcomes[outcome]) for outcome in counted.Outcome]
        _write_row(route or "-", [*counts, f"{_find_share(outcomes):.3f}"], out)
    out.write("causes\n")
    for (route, outcome, cause), count in losses.causes.most_common(
        _MOST_CAUSES
    ):
        out.write(f"{count:8}  {route or '-'}  {outcome.value}: {cause}\n")
    out.write("answered in time, by seconds since the first request\n")
    for moment, outcomes in sorted(losses.moments.items()):
        share = _find_share(outcomes)
        bar = "#" * round(share * _BAR)
        out.write(
            f"{moment:8.0f}  {bar:{_BAR}}  {share:.3f} of {outcomes.total()}\n"
        )


def _write_row(name: str, values: list[str], out: TextIO) -> None:
    out.write(f"{name:16}" + "".join(f"{each:>9}" for each in values) + "\n")


def _find_share(outcomes: counted.Outcomes) -> float:
    return outcomes[counted.Outcome.IN_TIME] / outcomes.total()
