"""Derives the figures of docs/CAPACITY.md from the measured slopes.

Usage: python -m benchmarks.capacity

Reads `benchmarks/results/*.json`, keeps the slopes that the page rests on in
`benchmarks/results/slopes.json` and rewrites the derived tables of the page,
between its marks. A test recomputes the tables from the slopes file.
"""

import json
import pathlib
from typing import Any

import msgspec

from benchmarks import capacity_rows

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results"
SLOPES = RESULTS / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- derived by benchmarks.capacity: begin -->"
END = "<!-- derived by benchmarks.capacity: end -->"


def read_slopes() -> capacity_rows.Slopes:
    """Returns the slopes from the newest results."""
    relay = {(r["relay"], r["streams"]): r for r in _load("relay")}
    entry, few = relay["entry", 200], relay["entry", 100]
    many = relay["entry", 350]
    grown = many["rss_mb"] - few["rss_mb"]
    decision = {
        (r["what"], r["endpoints"], r["waiting"]): r["median_us"]
        for r in _load("decision_cost")
    }
    members = _load("peer_cost")["60"]
    exchange = _load("peer_exchange")
    probes = {r["instances"]: r for r in _load("endpoint_probes")["sizes"]}[60]
    spread = [r for r in _load("settings_spread") if r["instances"] == 360]
    sizes = {r["accounts"]: r for r in _load("settings_size")}[42_000]
    starts = {r["accounts"]: r for r in _load("startup")}
    new = _load("ledger_cost")["calls"][0]
    return capacity_rows.Slopes(
        relay_event_us=entry["us_per_event"],
        relay_bare_event_us=relay["bare", 200]["us_per_event"],
        relay_rss_mb_a_stream=round(grown / 250, 4),
        relay_gap_p95_ms=entry["gap_p95"],
        request_record_us=_load("accounting")["request_us"],
        decision_submit_us=decision["submit to grant", 100, 0],
        decision_end_us=decision["end to grant", 100, 100],
        members_cpu_cores=round(members["cpu_percent_mean"] / 100, 5),
        members_kb_per_s=members["kb_per_s_mean"],
        members_age_p95_ms=members["age_p95_ms"],
        members_rss_mb=members["rss_mb_mean"],
        exchange_cpu_cores=round(exchange["cpu_percent"] / 100, 5),
        exchange_kb_per_s=exchange["kb_per_s"],
        probes_cpu_cores=round(probes["cpu_percent_of_a_core"] / 100, 5),
        probes_per_s=round(probes["mean_probes_per_s"], 2),
        loads_per_s=round(probes["loads_per_s"], 2),
        settings_reads_per_s=max(r["reads_per_s"] for r in spread),
        settings_reads_peak_per_s=max(r["reads_peak_per_s"] for r in spread),
        settings_everywhere_max_s=max(r["everywhere_max_s"] for r in spread),
        settings_change_ms=sizes["change_ms"],
        settings_mb=sizes["packed_mb"],
        ledger_writes=new["table_writes"] + new["object_writes"] + 1,
        start_ready_s=starts[42_000]["ready_s"],
        start_ready_small_s=starts[1000]["ready_s"],
        idle_cores=starts[42_000]["idle_cores"],
        rss_small_mb=starts[0]["rss_mb"],
        rss_full_mb=starts[42_000]["rss_mb"],
    )


def write_tables(size: capacity_rows.Size, slopes: capacity_rows.Slopes) -> str:
    """Returns the derived tables as they stand on the page."""
    lines: list[str] = []
    for title, derive in capacity_rows.TABLES.items():
        lines += [f"### {title}", "", _HEAD, _RULE]
        lines += [_write_row(row) for row in derive(size, slopes)]
        lines.append("")
    return "\n".join(lines)


_HEAD = "| What | Figure | Limit | | Basis | Carried by |"
_RULE = "| --- | ---: | ---: | --- | --- | --- |"


def _write_row(row: capacity_rows.Row) -> str:
    limit = "" if row.limit is None else f"{row.limit:g}"
    carrier = f"`{row.carrier}`" if row.carrier else ""
    figure = f"{row.value:.3g} {row.unit}".strip()
    cells = (row.what, figure, limit, row.verdict, row.basis, carrier)
    return f"| {' | '.join(cells)} |"


def replace_tables(page: str, tables: str) -> str:
    """Returns the page with other tables between its marks."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{tables}\n{END}{after}"


def _load(name: str) -> Any:
    return json.loads((RESULTS / f"{name}.json").read_text())


def main() -> None:
    """Writes the slopes file and the page's tables, and prints them."""
    slopes = read_slopes()
    encoded = msgspec.json.format(msgspec.json.encode(slopes))
    SLOPES.write_bytes(encoded + b"\n")
    tables = write_tables(capacity_rows.Size(), slopes)
    PAGE.write_text(replace_tables(PAGE.read_text(), tables))
    print(tables)


if __name__ == "__main__":
    main()
