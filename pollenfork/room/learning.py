"""What an instance learns from whole answers about room at runners."""

from pollenfork import ids
from pollenfork.room import expectation
from pollenfork.room import medians

# Assumed until a service has answered, in seconds; the fixed costs assume the
# same for the remaining time of a long answer.
_DEFAULT_ANSWER_S = 1.0


class LearnedAnswers:
    """The output and the duration of a service's answers.

    Attributes:
        outputs: The expected output by route.
    """

    def __init__(self) -> None:
        """Starts without answers."""
        self.outputs = expectation.OutputExpectation()
        self._times = medians.Medians(_DEFAULT_ANSWER_S)

    def record_time(self, service: ids.ServiceName, seconds: float) -> None:
        """Records how long an answer took from its sending to its end."""
        self._times.add(service, seconds)

    def get_typical_s(self, service: ids.ServiceName) -> float:
        """Returns the seconds that an answer of the service typically takes."""
        return self._times.get(service)
