"""An in-process platform for tests that implements the store's Protocols.

state = core.Platform(config.PlatformConfig())
here = fake.FakePlatform(clock.ManualClock(), state=state)
there = fake.FakePlatform(clock.ManualClock(), state=state)
here.set_faults(config.Faults(down=True))  # Affects `here` only.
"""

from collections.abc import Callable

import result

from pollenfork import clock as clocks
from pollenfork import ids
from pollenfork.standin.platform import config as configs
from pollenfork.standin.platform import core
from pollenfork.standin.platform import fault_injector
from pollenfork.store import edges
from pollenfork.store import errors


class FakePlatform:
    """All of the platform's services, in process.

    Attributes:
        table: A `TableService`.
        objects: An `ObjectStore`.
        instances: An `InstanceList`.
        weights: A `WeightStore`.
        state: The state of all services; pass it to another fake to share it.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        state: core.Platform | None = None,
        faults: configs.Faults = configs.Faults(),
        sleep: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        """Creates the services on `state`, or on an empty state.

        Args:
            clock: Clock for rate limits, list lag and expiry of write ids.
            state: State to share with other fakes.
            faults: Faults at the start.
            sleep: Called with the delay of a slow call in seconds; a test may
                advance its clock here.
        """
        self.state = state or core.Platform(configs.PlatformConfig())
        self._injector = fault_injector.FaultInjector(
            self.state, clock, faults, sleep
        )
        self.table = FakeTable(self._injector)
        self.objects = FakeObjects(self._injector)
        self.instances = FakeInstances(self._injector)
        self.weights = FakeWeights(self._injector)

    def set_faults(self, faults: configs.Faults) -> None:
        """Replaces the faults for subsequent calls."""
        self._injector.set_faults(faults)

    def set_instances(self, *instances: edges.ListedInstance) -> None:
        """Changes the instance list; callers see the change after the lag."""
        self._injector.run(
            lambda state, now: state.set_instances(instances, now)
        )


class FakeTable:
    """The table service."""

    def __init__(self, injector: fault_injector.FaultInjector) -> None:
        self._injector = injector

    def read(
        self, key: str
    ) -> result.Result[edges.Row | None, errors.PlatformFailure]:
        """Returns the row at `key`, or None if there is none."""
        return self._injector.call(
            configs.Operation.READ, lambda state, now: state.read(key, now)
        )

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[tuple[edges.Row, ...], errors.PlatformFailure]:
        """Returns rows with `prefix` and a key after `after`."""
        return self._injector.call(
            configs.Operation.SCAN,
            lambda state, now: state.scan(prefix, after, limit, now),
        )

    def commit(
        self, transaction: edges.Transaction
    ) -> result.Result[edges.Committed, errors.PlatformFailure]:
        """Applies the transaction; `Conflicted` if a condition fails."""
        return self._injector.call(
            configs.Operation.COMMIT,
            lambda state, now: state.commit(transaction, now),
        )


class FakeObjects:
    """The object store."""

    def __init__(self, injector: fault_injector.FaultInjector) -> None:
        self._injector = injector

    def fetch(
        self, key: str
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns the object's bytes, or None if there is none."""
        return self._injector.call(
            configs.Operation.FETCH, lambda state, now: state.fetch(key, now)
        )

    def store(
        self, key: str, body: bytes
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes the object, replacing any previous content."""
        return self._injector.call(
            configs.Operation.STORE,
            lambda state, now: state.store(key, body, now),
        )

    def remove(self, key: str) -> result.Result[None, errors.PlatformFailure]:
        """Deletes the object, if there is one."""
        return self._injector.call(
            configs.Operation.REMOVE, lambda state, now: state.remove(key, now)
        )


class FakeInstances:
    """The instance list."""

    def __init__(self, injector: fault_injector.FaultInjector) -> None:
        self._injector = injector

    def fetch(
        self,
    ) -> result.Result[
        tuple[edges.ListedInstance, ...], errors.PlatformFailure
    ]:
        """Returns the instance list as of `list_lag_s` ago."""
        return self._injector.list_instances()


class FakeWeights:
    """The weight store."""

    def __init__(self, injector: fault_injector.FaultInjector) -> None:
        self._injector = injector

    def request_read(
        self, model: ids.ModelName, version: str
    ) -> result.Result[None, errors.PlatformFailure]:
        """Acquires a read permit; `Throttled` if over the rate limit."""
        del model, version
        return self._injector.call(
            configs.Operation.PERMIT,
            lambda state, now: state.request_permit(now),
        )
