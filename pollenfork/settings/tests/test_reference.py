"""Checks that the reference lists exactly the settings and defaults."""

import pathlib
import re

import msgspec
import pytest

from pollenfork.settings import model

REFERENCE = pathlib.Path(__file__).parents[3] / "docs" / "settings.md"
SECTIONS = {
    "Root": model.RootSettings,
    "Ceiling": model.Ceiling,
    "Endpoint": model.EndpointSettings,
    "Service": model.ServiceSettings,
    "Team": model.TeamSettings,
    "Class": model.ServiceClass,
    "Account": model.Account,
}


def read_section(title: str) -> list[tuple[str, str]]:
    text = REFERENCE.read_text().split(f"\n## {title}\n")[1].split("\n## ")[0]
    return re.findall(r"^\| `(\w+)` \| `?([^|`]+)`? \|", text, re.MULTILINE)


def list_settings(kind: type) -> list[tuple[str, str]]:
    listed = []
    for field in msgspec.structs.fields(kind):
        default = field.default
        if field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        shown = (
            "required"
            if default is msgspec.NODEFAULT
            else msgspec.json.encode(default).decode()
        )
        listed.append((field.encode_name, shown))
    return listed


@pytest.mark.parametrize("title", SECTIONS)
def test_reference_lists_all_settings_and_defaults(title) -> None:
    assert read_section(title) == list_settings(SECTIONS[title])
