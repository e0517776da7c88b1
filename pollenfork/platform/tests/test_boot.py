"""The settings of duties are optional and validated."""

import pytest
import result

from pollenfork.gateway import settings
from pollenfork.platform import boot

BOOT = """
node-name = "front-a-1"
ip = "10.1.0.1"
zone = "a"
[listen]
front = "10.1.0.1:80"
[platform]
address = "10.2.0.1:90"
"""


def read(tmp_path, text: str):
    path = tmp_path / "boot.toml"
    path.write_text(BOOT + text)
    return boot.load(path)


def test_duties_are_none_if_not_configured(tmp_path) -> None:
    assert read(tmp_path, "").ok_value.duties is None


def test_unknown_duties_are_ignored(tmp_path) -> None:
    text = '[cloud]\naddress = "10.2.0.2:90"\nduties = ["paint"]\n'
    assert read(tmp_path, text).ok_value.duties is None


def test_duties_are_read_with_their_bounds(tmp_path) -> None:
    text = (
        '[cloud]\naddress = "10.2.0.2:90"\nduties = ["usage_report", "x"]\n'
        "[bounds]\nusage-window-s = 7\nlease-ms = 2000\n"
    )
    duties = read(tmp_path, text).ok_value.duties
    assert duties == settings.DutySettings(
        platform=settings.Address("10.2.0.2", 90),
        scales=False,
        window_s=7.0,
        alternation_s=2.0,
    )


@pytest.mark.parametrize(
    "text",
    [
        '[cloud]\nduties = ["usage_report"]\n',
        '[cloud]\naddress = "10.2.0.2:90"\nduties = ["autoscale"]\n'
        "[bounds]\nusage-window-s = 0\n",
        '[cloud]\naddress = "10.2.0.2:90"\nduties = ["autoscale"]\n'
        "[bounds]\nlease-ms = -1\n",
    ],
)
def test_invalid_duty_settings_are_an_error(tmp_path, text) -> None:
    assert isinstance(read(tmp_path, text), result.Err)
