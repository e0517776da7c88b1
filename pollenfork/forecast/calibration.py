"""Measures the error of the forecasts of each service."""

import collections
import statistics

import msgspec

from pollenfork import ids

# The answers from which the error is measured.
_WINDOW = 64
# Fewer answers say nothing about the error.
_MIN_ANSWERS = 8
# The largest correction, in seconds: the stated error of the forecast.
_MAX_BIAS_S = 0.25


class ForecastError(msgspec.Struct, frozen=True):
    """Observed less expected time to the first event, in seconds.

    Attributes:
        p10: A tenth of the answers came earlier than this.
        p50: The median.
        p90: A tenth of the answers came later than this.
    """

    p10: float = 0.0
    p50: float = 0.0
    p90: float = 0.0


class Calibration:
    """Corrects forecasts by the median error of recent answers."""

    def __init__(self) -> None:
        self._errors: dict[ids.ServiceName, collections.deque[float]] = {}
        self._biases: dict[ids.ServiceName, float] = {}

    def record(
        self, service: ids.ServiceName, expected_s: float, observed_s: float
    ) -> None:
        """Records one answer's expected and observed time to first event.

        Args:
            service: The service.
            expected_s: The forecast, already corrected, in seconds.
            observed_s: Seconds from sending to the first event.
        """
        errors = self._errors.setdefault(
            service, collections.deque(maxlen=_WINDOW)
        )
        errors.append(observed_s - expected_s + self.get_bias(service))
        if len(errors) >= _MIN_ANSWERS:
            median = statistics.median(errors)
            bias_s = max(-_MAX_BIAS_S, min(_MAX_BIAS_S, median))
            self._biases[service] = bias_s

    def get_bias(self, service: ids.ServiceName) -> float:
        """Returns the seconds to add to a service's forecasts."""
        return self._biases.get(service, 0.0)

    def measure(self, service: ids.ServiceName) -> ForecastError:
        """Returns the error that recent forecasts would have uncorrected."""
        errors = sorted(self._errors.get(service, ()))
        if len(errors) < _MIN_ANSWERS:
            return ForecastError()
        last = len(errors) - 1
        return ForecastError(
            *(errors[round(last * part)] for part in (0.1, 0.5, 0.9))
        )
