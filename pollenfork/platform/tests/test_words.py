"""The platform's spelling stays in this folder."""

import pathlib

from pollenfork.platform import names

ROOT = pathlib.Path(__file__).parents[3]
FOLDER = ROOT / "pollenfork" / "platform"


def list_sources() -> list[pathlib.Path]:
    found = [
        path
        for top in ("pollenfork", "tests", "benchmarks", "bundle")
        for path in (ROOT / top).rglob("*.py")
    ]
    return [path for path in found if FOLDER not in path.parents]


def test_no_other_source_holds_the_platforms_words() -> None:
    assert len(list_sources()) > 100
    strange = [
        (str(path.relative_to(ROOT)), word)
        for path in list_sources()
        for word in names.FOREIGN_WORDS
        if word in path.read_text().lower()
    ]
    assert strange == []


def test_the_adapter_stays_small() -> None:
    lines = [
        line
        for path in FOLDER.glob("*.py")
        for line in path.read_text().splitlines()
    ]
    assert len(lines) < 1200
