"""Interface to the estimate of the total, as the planner uses it."""

from typing import Protocol

from pollenfork.scaling import model


class Estimator(Protocol):
    """Estimates how many runners a service needs in total."""

    @property
    def baseline(self) -> int:
        """The number of runners under normal load."""

    def estimate_total(self, load: model.Load, now: float) -> int:
        """Returns the number of runners to have.

        Args:
            load: The runners' load.
            now: Monotonic seconds.
        """
