"""Mechanisms can be switched off in a scratch copy for ablations."""

import pathlib

import pytest

from benchmarks import ablations

ENTRY = pathlib.Path("pollenfork/platform/__main__.py")
ROOT = pathlib.Path(__file__).parents[1]


@pytest.mark.parametrize("mechanism", ablations.SWITCHES)
def test_switched_off_names_exist(mechanism, monkeypatch) -> None:
    for switch in ablations.SWITCHES[mechanism]:
        # Fails if the name no longer exists.
        monkeypatch.setattr(switch.owner, switch.name, switch.instead)


def test_prepared_copy_starts_without_the_mechanism(tmp_path) -> None:
    copy = tmp_path / ENTRY
    copy.parent.mkdir(parents=True)
    copy.write_text((ROOT / ENTRY).read_text())
    for mechanism in ("copies-of-prompts", "repeats"):
        ablations.prepare(tmp_path, mechanism)
        source = copy.read_text()
        compile(source, str(copy), "exec")
        assert source.count("switch_off(") == 1
        assert f'switch_off("{mechanism}")' in source
        assert source.endswith("sys.exit(main())\n")
