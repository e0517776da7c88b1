"""Simulates several instances with one platform and some endpoints."""

import itertools

import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import call_executor
from pollenfork.endpoints import calls
from pollenfork.endpoints import core
from pollenfork.endpoints import edges
from pollenfork.settings import model
from pollenfork.standin.platform import fake
from pollenfork.store import edges as platform_edges

DC = ids.DataCentre("dc1")
TICK = 0.25
HEARTBEAT = 1.0
LIVE = dispatch_messages.EndpointState.LIVE
LEAVING = dispatch_messages.EndpointState.LEAVING
GONE = dispatch_messages.EndpointState.GONE


class FakeEndpoint:
    """An endpoint in memory."""

    def __init__(self, models=("m",)):
        self.ready = True
        self.up = True
        self.models = tuple(models)
        self.orders = []
        self.probes = 0

    def check_ready(self):
        self.probes += 1
        return result.Ok(self.ready) if self.up else self._refuse_connection()

    def fetch_load(self):
        if not self.up:
            return self._refuse_connection()
        report = edges.LoadReport(
            running=1, waiting=0, kv_free=0.5, models=self.models, age_ms=500
        )
        return result.Ok(report)

    def fetch_cache_events(self, after):
        return result.Ok(())

    def cancel(self, attempt):
        return result.Ok(edges.CancelOutcome.UNKNOWN_REQUEST)

    def give_order(self, order):
        if not self.up:
            return self._refuse_connection()
        self.orders.append(order)
        if order.kind is edges.OrderKind.DRAIN:
            self.ready = False
        if order.kind is edges.OrderKind.LOAD_MODEL:
            self.models = (*self.models, order.argument)
        return result.Ok(None)

    def restart(self):
        self.up, self.ready = True, True

    def _refuse_connection(self):
        return result.Err(edges.Unreachable(refused=True))


class Instance:
    """One instance: its core and its access to the platform."""

    def __init__(self, cluster, name):
        self.name = name
        self.platform = fake.FakePlatform(cluster.clock, state=cluster.state)
        self.core = core.Core(ids.InstanceId(name), DC, cluster.new_id)
        self.executor = call_executor.CallExecutor(
            cluster.clock,
            self.platform.table,
            self.platform.instances,
            self.platform.weights,
        )
        self.states = {}
        self.reports = []
        self.endpoints_unreachable = False  # Its calls to endpoints fail.
        self.peers_unreachable = False  # Messages of peers to it are lost.


class Cluster:
    """All instances and endpoints, advanced in ticks."""

    def __init__(
        self, instances=3, endpoints=4, models=("m",), permits_per_s=100.0
    ):
        self.clock = clock.ManualClock()
        self.state = fake.core.Platform(
            fake.configs.PlatformConfig(permits_per_s=permits_per_s)
        )
        self._ids = itertools.count()
        self.endpoints = {
            ids.EndpointId(f"e{n}"): FakeEndpoint() for n in range(endpoints)
        }
        self.instances = [Instance(self, f"i{n}") for n in range(instances)]
        self.set_listed(platform_edges.InstanceStatus.LIVE)
        self.set_models(models)

    def new_id(self):
        return ids.WriteId(f"w{next(self._ids)}")

    def set_models(self, models):
        endpoints = {
            name: model.EndpointSettings(
                address=f"10.0.0.1:{n}",
                data_centre=DC,
                models=tuple(models),
                checks_fencing=True,
            )
            for n, name in enumerate(self.endpoints, 1)
        }
        root = model.RootSettings(endpoints=endpoints)
        for instance in self.instances:
            instance.core.apply_tree(model.Tree(root=root))

    def set_listed(self, status, **exceptions):
        listed = tuple(
            platform_edges.ListedInstance(
                name=name,
                role=platform_edges.InstanceRole.ENDPOINT,
                data_centre=DC,
                address="10.0.0.1:1",
                status=exceptions.get(name, status),
            )
            for name in self.endpoints
            if exceptions.get(name, status) is not None
        )
        self.instances[0].platform.set_instances(*listed)

    def run(self, seconds, until=None):
        """Advances; returns the seconds until `until` was true, or None."""
        for passed in range(int(seconds / TICK)):
            if until and until():
                return passed * TICK
            self._step()
        return None

    def count_live(self, name):
        return sum(
            instance.states.get(name) is LIVE for instance in self.instances
        )

    def _step(self):
        now = self.clock.monotonic()
        live = [instance.name for instance in self.instances]
        for instance in self.instances:
            instance.core.set_live_instances(live)
            self._run_calls(instance, now)
        if now % HEARTBEAT == 0:
            self._exchange_leaving(now)
        for instance in self.instances:
            for update in instance.core.take_updates(now):
                if isinstance(update, dispatch_messages.EndpointNotice):
                    instance.states[update.endpoint] = update.state
                else:
                    instance.reports.append(update)
        self.clock.advance(TICK)

    def _run_calls(self, instance, now):
        due = instance.core.tick(now)
        while due:
            for call in due:
                answer = self._call(instance, call)
                instance.core.handle_done(calls.Done(call, now, answer), now)
            due = [
                call
                for call in instance.core.tick(now)
                if isinstance(call, calls.RunStep)
            ]

    def _call(self, instance, call):
        if instance.endpoints_unreachable and call_executor.targets_endpoint(
            call
        ):
            return result.Err(edges.Unreachable())
        endpoint = self.endpoints.get(getattr(call, "endpoint", None))
        return instance.executor.execute(call, endpoint)

    def _exchange_leaving(self, now):
        for sender in self.instances:
            leaving = sender.core.list_leaving(now)
            for receiver in self.instances:
                if receiver is not sender and not receiver.peers_unreachable:
                    receiver.core.receive_peer_leaving(
                        leaving, sender.name, now
                    )
