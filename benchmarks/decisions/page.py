"""The results page, written from the figures of a whole run."""

from collections.abc import Sequence

from benchmarks.decisions import faults
from benchmarks.decisions import results
from benchmarks.decisions import workload

JOINT_ROWS = ("load 1.5", "low-class burst 3")
SECONDS = 150.0
SLOPE_SECONDS = 60.0
SLOPE_ROW = "load 1.5"
SLOPE = ((6, 9), (15, 25), (30, 50), (60, 100))

_HEAD = """# The decisions under load and faults

Written by `python -m benchmarks.decisions`; the same figures as JSON are in
`benchmarks/results/decisions.json`. Virtual time: the real cores of several
instances before small models of engines (`benchmarks/decisions/engine.py`),
150 s of arrivals and 150 s more to end; {seeds} seeds, mean ± half the range.

A class's cell: attainment in % (first token and mean gap within target, answer
whole), in brackets the whole answers in %, late ones included. Goodput counts
requests, and their tokens, that met their targets. Waste is the part of the
generated tokens that no caller got, or that were repeats; where a caller
itself went away mid-answer, its tokens are under "abandoned" below.
Sent/request counts attempts for each request that was sent at all.
"""


def write(
    figures: Sequence,  # type: ignore[type-arg]
    policies: Sequence[str],
    joint: Sequence[str],
    instances: int,
) -> str:
    """Returns the page."""
    by_case: dict[tuple[str, str, int, int, float], list[results.Result]] = {}
    for figure in figures:
        case = figure.case
        key = (
            case.row,
            case.policy,
            case.instances,
            case.engines,
            case.seconds,
        )
        by_case.setdefault(key, []).append(figure.result)
    seeds = max(len(found) for found in by_case.values())
    lines = [_HEAD.format(seeds=seeds)]
    lines += _write_faults(by_case, policies, instances)
    lines += _write_joint(by_case, joint)
    lines += _write_slope(by_case)
    lines += _write_details(by_case, instances)
    return "\n".join(lines) + "\n"


def _write_faults(by_case, policies, instances):  # type: ignore[no-untyped-def]
    engines = workload.ENGINES
    rows = [
        (
            row.name,
            policy,
            by_case[(row.name, policy, instances, engines, SECONDS)],
        )
        for row in faults.ROWS
        for policy in policies
        if (row.name, policy, instances, engines, SECONDS) in by_case
    ]
    title = f"\n## Faults: {instances} instances, {engines} engines\n"
    return [title, *results.write_table(rows)]


def _write_joint(by_case, joint):  # type: ignore[no-untyped-def]
    rows = [
        (f"{row}, {key[2]} instances", policy, by_case[key])
        for row in JOINT_ROWS
        for policy in joint
        for key in sorted(by_case)
        if key[0] == row
        and key[1] == policy
        and key[3:] == (workload.ENGINES, SECONDS)
    ]
    rows.sort(key=lambda r: r[0])
    return ["\n## Joint action\n", *results.write_table(rows)]


def _write_slope(by_case):  # type: ignore[no-untyped-def]
    rows = [
        (f"{n} instances, {e} engines", "pollenfork", by_case[key])
        for n, e in SLOPE
        if (key := (SLOPE_ROW, "pollenfork", n, e, SLOPE_SECONDS)) in by_case
    ]
    title = "\n## The slope towards a data centre's size\n"
    note = f"{SLOPE_ROW}, {SLOPE_SECONDS:.0f} s of arrivals, one seed.\n"
    return [title, note, *results.write_table(rows)]


def _write_details(by_case, instances):  # type: ignore[no-untyped-def]
    lines = [
        "\n## Predictions, continuation, ejections (pollenfork)\n",
        "| case | waits predicted right | returning callers in time |"
        " tokens saved by continuation | abandoned tokens | ejections |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in faults.ROWS:
        key = (
            row.name,
            "pollenfork",
            instances,
            workload.ENGINES,
            SECONDS,
        )
        found = by_case.get(key)
        if not found:
            continue
        right = _write_part([r.predicted_right for r in found])
        returned = _write_part([r.return_met for r in found])
        saved = sum(r.saved_tokens for r in found) / len(found)
        left = sum(r.abandoned for r in found) / len(found)
        ejected = sum(r.ejections for r in found) / len(found)
        lines.append(
            f"| {row.name} | {right} | {returned} | {saved:.0f} |"
            f" {left:.2%} | {ejected:.1f} |"
        )
    lines.append(
        "\nA prediction is right when it is within half of the actual wait,"
        " or within 0.5 s; requests that had to wait only."
    )
    return lines


def _write_part(parts: Sequence[float | None]) -> str:
    known = [part for part in parts if part is not None]
    return f"{100 * sum(known) / len(known):.0f}%" if known else "-"
