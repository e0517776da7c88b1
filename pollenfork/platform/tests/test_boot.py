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


def test_the_memory_limit_is_read_and_none_by_default(tmp_path) -> None:
    # Guards against a bound on buffers where the settings name no limit.
    assert read(tmp_path, "").ok_value.memory_bytes is None
    other = read(tmp_path, "[limits]\nopen-files = 9\n")
    assert other.ok_value.memory_bytes is None
    limited = read(tmp_path, "[limits]\nmemory-mb = 200\n")
    assert limited.ok_value.memory_bytes == 200_000_000


def test_a_memory_limit_that_is_not_above_0_is_an_error(tmp_path) -> None:
    # Guards against an instance that refuses every body.
    read_limits = read(tmp_path, "[limits]\nmemory-mb = 0\n")
    assert isinstance(read_limits, result.Err)
