"""Whether the load balancer should send callers here, and why not."""

from collections.abc import Callable
import enum
import logging

from pollenfork.gateway import cluster_state

_LOG = logging.getLogger(__name__)


class State(enum.Enum):
    """Whether an instance is ready, or why it isn't."""

    READY = "ready"
    NO_SETTINGS = "no_settings"
    NO_RUNNERS = "no_runners"
    SETTINGS_STALE = "settings_stale"
    STOPPING = "stopping"


class Readiness:
    """Determines the instance's state and logs each change.

    Attributes:
        state: The state at the last check.
    """

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._cluster = cluster
        self._is_stopping = is_stopping
        self.state = State.NO_SETTINGS

    def check(self, now: float) -> bool:
        """Returns whether callers may be sent here.

        Args:
            now: Monotonic seconds.
        """
        state = self._determine_state(now)
        if state is not self.state:
            self._log_change(state, now)
            self.state = state
        return state is State.READY

    def _determine_state(self, now: float) -> State:
        cluster = self._cluster
        if self._is_stopping():
            return State.STOPPING
        if cluster.lookup is None:
            return State.NO_SETTINGS
        if not cluster.has_runners:
            return State.NO_RUNNERS
        if not cluster.freshness.trusts_keys(now):
            return State.SETTINGS_STALE
        return State.READY

    def _log_change(self, state: State, now: float) -> None:
        cluster = self._cluster
        age_s = cluster.freshness.age(now)
        _LOG.info(
            "event=readiness state=%s before=%s configuration=%s age_ms=%s",
            state.value,
            self.state.value,
            cluster.lookup.configuration.version if cluster.lookup else "-",
            "-" if age_s is None else int(age_s * 1000),
        )
