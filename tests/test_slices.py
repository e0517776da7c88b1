"""A slice knows of another only what that one shows."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / "pollenfork"
SLICES = (
    "admission",
    "answers",
    "dispatch",
    "endpoints",
    "entry",
    "ledger",
    "membership",
    "operator",
    "store",
    "settings",
)
SHOWN = {"messages", "edges", "errors", "model", "snapshot", "state"}
FRONTS = {("answers", "session"), ("ledger", "keys")}
IMPORT = re.compile(r"^from pollenfork\.(\w+) import (\w+)", re.MULTILINE)


@pytest.mark.parametrize("name", SLICES)
def test_slice_imports_only_what_others_show(name: str) -> None:
    hidden = [
        (path.name, other, module)
        for path in (PACKAGE / name).glob("*.py")
        for other, module in IMPORT.findall(path.read_text())
        if other in SLICES
        and other != name
        and module not in SHOWN
        and (other, module) not in FRONTS
    ]
    assert not hidden
