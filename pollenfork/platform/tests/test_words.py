"""The platform's names are used in this package only."""

import pathlib

ROOT = pathlib.Path(__file__).parents[3]
PACKAGE = ROOT / "pollenfork" / "platform"
# Names that only this package, its tests and `deploy/` may contain.
FOREIGN_WORDS = (
    "x-pollenfork-",
    "rows-feed",
    "rows-get",
    "rows-tx",
    "kv-move",
    "kv-events",
    "kv-fetch",
    "kv-from",
    "after-revision",
    "traffic-split",
    "target-latency-ms",
    "session-affinity",
    "cold-remaining-ms",
    "stable-window",
    "revoke-ms",
    "pollenfork_boot",
    "duty-holder",
    "fencing-token",
    "usage_report",
    "autoscale",
    "desired-count",
    "server-limit",
    "zone-prices",
    '"spot"',
)


def list_sources() -> list[pathlib.Path]:
    paths = [
        path
        for top in ("pollenfork", "tests", "benchmarks", "bundle")
        for path in (ROOT / top).rglob("*.py")
    ]
    return [path for path in paths if PACKAGE not in path.parents]


def test_no_other_source_contains_the_platforms_names() -> None:
    assert len(list_sources()) > 100
    violations = [
        (str(path.relative_to(ROOT)), word)
        for path in list_sources()
        for word in FOREIGN_WORDS
        if word in path.read_text().lower()
    ]
    assert violations == []


def test_the_adapter_stays_small() -> None:
    lines = [
        line
        for path in PACKAGE.glob("*.py")
        for line in path.read_text().splitlines()
    ]
    assert len(lines) < 1200
