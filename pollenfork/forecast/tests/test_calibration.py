"""The correction of forecasts by their recent error."""

import pytest

from pollenfork import ids
from pollenfork.forecast import calibration

_SERVICE = ids.ServiceName("s")


def test_nothing_is_corrected_without_answers() -> None:
    measured = calibration.Calibration()
    assert measured.get_bias(_SERVICE) == 0.0
    assert measured.measure(_SERVICE) == calibration.ForecastError()


# Guards against corrections that feed on themselves: the error of a corrected
# forecast is counted without the correction.
def test_a_constant_error_is_corrected_once() -> None:
    measured = calibration.Calibration()
    for _ in range(100):
        expected_s = 0.1 + measured.get_bias(_SERVICE)
        measured.record(_SERVICE, expected_s, 0.16)
    assert measured.get_bias(_SERVICE) == pytest.approx(0.06)
    assert measured.measure(_SERVICE).p50 == pytest.approx(0.06)


# Guards against a few answers of a runner in a slow spell.
def test_a_third_of_late_answers_corrects_nothing() -> None:
    measured = calibration.Calibration()
    for number in range(60):
        observed_s = 2.0 if number % 3 == 0 else 0.1
        measured.record(_SERVICE, 0.1 + measured.get_bias(_SERVICE), observed_s)
    assert measured.get_bias(_SERVICE) == pytest.approx(0.0)
    assert measured.measure(_SERVICE).p90 == pytest.approx(1.9)


@pytest.mark.parametrize("observed_s", [0.0, 30.0])
def test_the_correction_is_bounded(observed_s: float) -> None:
    measured = calibration.Calibration()
    for _ in range(20):
        expected_s = 2.0 + measured.get_bias(_SERVICE)
        measured.record(_SERVICE, expected_s, observed_s)
    assert abs(measured.get_bias(_SERVICE)) == pytest.approx(0.25)
