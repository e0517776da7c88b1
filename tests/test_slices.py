"""Packages import only the public modules of other packages."""

import pathlib
import re

import pytest

SOURCE_DIR = pathlib.Path(__file__).parent.parent / "pollenfork"
PACKAGES = (
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
PUBLIC_MODULES = {"messages", "edges", "errors", "model", "snapshot", "state"}
PUBLIC_EXCEPTIONS = {("answers", "session"), ("ledger", "keys")}
IMPORT = re.compile(r"^from pollenfork\.(\w+) import (\w+)", re.MULTILINE)


@pytest.mark.parametrize("name", PACKAGES)
def test_slice_imports_only_public_modules_of_others(name: str) -> None:
    violations = [
        (path.name, other, module)
        for path in (SOURCE_DIR / name).glob("*.py")
        for other, module in IMPORT.findall(path.read_text())
        if other in PACKAGES
        and other != name
        and module not in PUBLIC_MODULES
        and (other, module) not in PUBLIC_EXCEPTIONS
    ]
    assert not violations
