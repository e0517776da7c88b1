"""Each mechanism can be switched off in a scratch copy."""

import pathlib

import pytest

from benchmarks import ablations

ENTRY = pathlib.Path("pollenfork/platform/__main__.py")
ROOT = pathlib.Path(__file__).parents[1]


@pytest.mark.parametrize("mechanism", ablations.SWITCHES)
def test_what_is_switched_off_exists(mechanism, monkeypatch) -> None:
    for switch in ablations.SWITCHES[mechanism]:
        # Fails where the product has no such name any more.
        monkeypatch.setattr(switch.owner, switch.name, switch.instead)


def test_a_copy_is_made_to_start_without_a_mechanism(tmp_path) -> None:
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
