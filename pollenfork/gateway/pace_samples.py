"""Takes samples of runners' paces from the answers that are relayed."""

from collections.abc import Callable
import math

from pollenfork.fleet import candidates
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.fleet import runner_state
from pollenfork.loads import messages as loads
from pollenfork.pace import estimator
from pollenfork.pace import observer

# The index of runners is rebuilt at most this often, in seconds. With 600
# runners it takes about 1 ms.
_REBUILD_S = 0.5


class AnswerObserver:
    """Times one request's answer if its service is forecast."""

    def __init__(
        self,
        paces: estimator.PaceTable,
        profile: candidates.RequestProfile,
        read_load: Callable[[runner_state.RunnerState], loads.Load],
    ) -> None:
        """Starts before the first event.

        Args:
            paces: Receives the sample.
            profile: What the request needs.
            read_load: Returns a runner's load over all instances.
        """
        self._read_load = read_load
        self._begun = loads.Load()
        self._paces = paces
        self._service = profile.service
        self._timer = observer.EventTimer() if profile.forecast else None
        self._events = 0

    def on_first_output(self, grant: outcomes.Grant) -> None:
        """Notes the load of a runner that starts to answer."""
        if self._timer is not None:
            self._begun = self._read_load(grant.state)

    def on_events(self, now: float, events: int) -> None:
        """Notes events that a runner sent.

        Args:
            now: Monotonic seconds.
            events: The number of events so far.
        """
        if self._timer is not None:
            self._timer.record(now, events - self._events)
            self._events = events

    def discard(self) -> None:
        """Gives no sample: the caller, not the runner, sets the intervals."""
        self._timer = None

    def on_answered(
        self, grant: outcomes.Grant, attempts: int, now: float
    ) -> None:
        """Records the sample of a whole answer.

        Args:
            grant: The grant of the runner that answered.
            attempts: Attempts that were sent; the events of several can't be
                assigned to one runner.
            now: Monotonic seconds.
        """
        if self._timer is None or attempts != 1:
            return
        interval_ms = self._timer.get_interval_ms()
        if interval_ms is None:
            return
        runner = grant.state.incarnation_hash
        unloaded_ms = observer.find_unloaded_ms(
            interval_ms, self._begun, self._read_load(grant.state)
        )
        if unloaded_ms is not None:
            self._paces.record_local(runner, self._service, unloaded_ms, now)


class RunnerIndex:
    """Finds registered runners by the hash of their incarnation."""

    def __init__(
        self, runners: registry.Registry, clock: Callable[[], float]
    ) -> None:
        self._runners = runners
        self._clock = clock
        self._known: dict[int, estimator.KnownRunner] = {}
        self._built_at = -math.inf

    def find(self, runner: int) -> estimator.KnownRunner | None:
        """Returns a runner; None: it isn't registered."""
        known = self._known.get(runner)
        now = self._clock()
        if known is not None or now - self._built_at < _REBUILD_S:
            return known
        self._built_at = now
        self._known = {
            hash_incarnation(each): estimator.KnownRunner(each.id, each.service)
            for each in self._runners.list_all()
        }
        return self._known.get(runner)


def hash_incarnation(runner: fleet.Runner) -> int:
    """Returns the hash by which a runner's pace is known."""
    return loads.hash_name(runner.incarnation.name)
