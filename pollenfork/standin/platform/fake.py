"""The platform for tests: the stand-in's state behind the edges' Protocols.

state = core.Platform(config.PlatformConfig())
here = fake.FakePlatform(clock.ManualClock(), state=state)
there = fake.FakePlatform(clock.ManualClock(), state=state)
here.set_faults(config.Faults(down=True))  # Only `here` is cut off.
"""

from collections.abc import Callable

import result

from pollenfork import clock as clocks
from pollenfork import ids
from pollenfork.standin.platform import config as configs
from pollenfork.standin.platform import core
from pollenfork.standin.platform import gate as gates
from pollenfork.store import edges
from pollenfork.store import errors


class FakePlatform:
    """All of the platform's services in this process.

    Attributes:
        table: A `TableService`.
        objects: An `ObjectStore`.
        instances: An `InstanceList`.
        weights: A `WeightStore`.
        state: What stands behind them; give it to another fake to share it.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        state: core.Platform | None = None,
        faults: configs.Faults = configs.Faults(),
        sleep: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        """Puts the services on `state`, or on an empty one.

        Args:
            clock: Times the rates, the lag and the memory of write ids.
            state: Shared state.
            faults: Faults at the start.
            sleep: Called with the seconds that a slow call takes; a test may
                advance its clock there.
        """
        self.state = state or core.Platform(configs.PlatformConfig())
        self._gate = gates.Gate(self.state, clock, faults, sleep)
        self.table = FakeTable(self._gate)
        self.objects = FakeObjects(self._gate)
        self.instances = FakeInstances(self._gate)
        self.weights = FakeWeights(self._gate)

    def set_faults(self, faults: configs.Faults) -> None:
        """Puts faults in force for the calls to come."""
        self._gate.set_faults(faults)

    def set_instances(self, *instances: edges.ListedInstance) -> None:
        """Changes the instance list; it is seen after the lag."""
        self._gate.run(lambda state, now: state.set_instances(instances, now))


class FakeTable:
    """The table service."""

    def __init__(self, gate: gates.Gate) -> None:
        self._gate = gate

    def read(
        self, key: str
    ) -> result.Result[edges.Row | None, errors.PlatformFailure]:
        """Returns the row at `key`, or None where there is none."""
        return self._gate.call(
            configs.Operation.READ, lambda state, now: state.read(key, now)
        )

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[tuple[edges.Row, ...], errors.PlatformFailure]:
        """Returns rows whose key starts with `prefix`, past `after`."""
        return self._gate.call(
            configs.Operation.SCAN,
            lambda state, now: state.scan(prefix, after, limit, now),
        )

    def commit(
        self, transaction: edges.Transaction
    ) -> result.Result[edges.Committed, errors.PlatformFailure]:
        """Applies the transaction; `Conflicted` where a condition fails."""
        return self._gate.call(
            configs.Operation.COMMIT,
            lambda state, now: state.commit(transaction, now),
        )


class FakeObjects:
    """The object store."""

    def __init__(self, gate: gates.Gate) -> None:
        self._gate = gate

    def fetch(
        self, key: str
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns the object's bytes, or None where there is none."""
        return self._gate.call(
            configs.Operation.FETCH, lambda state, now: state.fetch(key, now)
        )

    def store(
        self, key: str, body: bytes
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes the object whole."""
        return self._gate.call(
            configs.Operation.STORE,
            lambda state, now: state.store(key, body, now),
        )

    def remove(self, key: str) -> result.Result[None, errors.PlatformFailure]:
        """Deletes the object, if there is one."""
        return self._gate.call(
            configs.Operation.REMOVE, lambda state, now: state.remove(key, now)
        )


class FakeInstances:
    """The instance list."""

    def __init__(self, gate: gates.Gate) -> None:
        self._gate = gate

    def fetch(
        self,
    ) -> result.Result[
        tuple[edges.ListedInstance, ...], errors.PlatformFailure
    ]:
        """Returns the list, with its lag."""
        return self._gate.list_instances()


class FakeWeights:
    """The weight store."""

    def __init__(self, gate: gates.Gate) -> None:
        self._gate = gate

    def request_read(
        self, model: ids.ModelName, version: str
    ) -> result.Result[None, errors.PlatformFailure]:
        """Takes a permit; `Throttled` when over the rate."""
        del model, version
        return self._gate.call(
            configs.Operation.PERMIT,
            lambda state, now: state.request_permit(now),
        )
