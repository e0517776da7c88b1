"""The output that a request is expected to have."""

from pollenfork.room import medians

# One unusual answer must not set the ratio of its route. Until there are this
# many, hints count as given: they are correct at the median.
_MIN_ANSWERS = 5
# The tokens per event are taken from the configuration and are 1 where it
# doesn't state them. With events of 4 tokens, the ratio would then be 0.25.
# Ratios beyond these bounds are more likely wrong hints or a wrong
# configuration than output.
_MIN_RATIO = 0.25
_MAX_RATIO = 4.0
# Callers state the lengths. A datagram's integers have 64 bits, and the tokens
# of many requests are added up.
_MAX_TOKENS = 2**31 - 1


class OutputExpectation:
    """Expects output from callers' hints and from earlier answers."""

    def __init__(self) -> None:
        """Starts without answers: hints count as given."""
        self._ratios = medians.Medians(1.0, _MIN_ANSWERS)

    def record(self, route: str, hint: int, output: int) -> None:
        """Records the output of a whole answer.

        Args:
            route: The request's route.
            hint: The output that the caller expected, in tokens; 0: unknown.
            output: The observed output in tokens.
        """
        if hint > 0 and output > 0:
            self._ratios.add(route, output / hint)

    def get_ratio(self, route: str) -> float:
        """Returns the ratio of observed to hinted output on a route."""
        return min(_MAX_RATIO, max(_MIN_RATIO, self._ratios.get(route)))

    def find_output(self, route: str, hint: int, maximum: int) -> int:
        """Returns the expected output of a request in tokens.

        Args:
            route: The request's route.
            hint: The output that the caller expects; 0: unknown, then the
                maximum is expected.
            maximum: The most that the caller accepts; 0: unknown.
        """
        if hint <= 0:
            return max(0, maximum)
        expected = round(min(hint, _MAX_TOKENS) * self.get_ratio(route))
        return min(expected, maximum) if maximum > 0 else expected

    def find_needed(
        self, route: str, prompt: int, hint: int, maximum: int
    ) -> int:
        """Returns the tokens that a request holds when it ends.

        Args:
            route: The request's route.
            prompt: Tokens of the prompt.
            hint: The output that the caller expects; 0: unknown.
            maximum: The most output that the caller accepts; 0: unknown.
        """
        needed = prompt + self.find_output(route, hint, maximum)
        return min(needed, _MAX_TOKENS)
