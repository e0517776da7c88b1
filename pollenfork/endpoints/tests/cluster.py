"""Several instances' cores over one platform and some endpoints."""

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


class Endpoint:
    """An endpoint in memory; `cut` names what can't reach it."""

    def __init__(self, models=("m",)):
        self.ready = True
        self.up = True
        self.models = tuple(models)
        self.orders = []
        self.probes = 0

    def check_ready(self):
        self.probes += 1
        return result.Ok(self.ready) if self.up else self._refuse()

    def fetch_load(self):
        if not self.up:
            return self._refuse()
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
            return self._refuse()
        self.orders.append(order)
        if order.kind is edges.OrderKind.DRAIN:
            self.ready = False
        if order.kind is edges.OrderKind.LOAD_MODEL:
            self.models = (*self.models, order.argument)
        return result.Ok(None)

    def restart(self):
        self.up, self.ready = True, True

    def _refuse(self):
        return result.Err(edges.Unreachable(refused=True))


class Member:
    """One instance: its core, and the platform as it reaches it."""

    def __init__(self, fleet, name):
        self.name = name
        self.platform = fake.FakePlatform(fleet.clock, state=fleet.state)
        self.core = core.Core(ids.InstanceId(name), DC, fleet.new_id)
        self.caller = call_executor.CallExecutor(
            fleet.clock,
            self.platform.table,
            self.platform.instances,
            self.platform.weights,
        )
        self.states = {}
        self.reports = []
        self.blind = False  # Its probes and loads get no answer.
        self.deaf = False  # Peers' messages to it are lost.


class Fleet:
    """Everything together, moved on by ticks."""

    def __init__(
        self, members=3, endpoints=4, models=("m",), permits_per_s=100.0
    ):
        self.clock = clock.ManualClock()
        self.state = fake.core.Platform(
            fake.configs.PlatformConfig(permits_per_s=permits_per_s)
        )
        self._ids = itertools.count()
        self.endpoints = {
            ids.EndpointId(f"e{n}"): Endpoint() for n in range(endpoints)
        }
        self.members = [Member(self, f"i{n}") for n in range(members)]
        self.list_all(platform_edges.InstanceStatus.LIVE)
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
        for member in self.members:
            member.core.apply_tree(model.Tree(root=root))

    def list_all(self, status, **exceptions):
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
        self.members[0].platform.set_instances(*listed)

    def run(self, seconds, until=None):
        """Moves on; returns seconds until `until` held, or None."""
        for passed in range(int(seconds / TICK)):
            if until and until():
                return passed * TICK
            self._move()
        return None

    def count_live(self, name):
        return sum(member.states.get(name) is LIVE for member in self.members)

    def _move(self):
        now = self.clock.monotonic()
        live = [member.name for member in self.members]
        for member in self.members:
            member.core.set_live_instances(live)
            self._work(member, now)
        if now % HEARTBEAT == 0:
            self._exchange(now)
        for member in self.members:
            for news in member.core.take_updates(now):
                if isinstance(news, dispatch_messages.EndpointNotice):
                    member.states[news.endpoint] = news.state
                else:
                    member.reports.append(news)
        self.clock.advance(TICK)

    def _work(self, member, now):
        todo = member.core.tick(now)
        while todo:
            for call in todo:
                answer = self._call(member, call)
                member.core.handle_done(calls.Done(call, now, answer), now)
            todo = [
                call
                for call in member.core.tick(now)
                if isinstance(call, calls.RunStep)
            ]

    def _call(self, member, call):
        if member.blind and call_executor.targets_endpoint(call):
            return result.Err(edges.Unreachable())
        endpoint = self.endpoints.get(getattr(call, "endpoint", None))
        return member.caller.execute(call, endpoint)

    def _exchange(self, now):
        for sender in self.members:
            leaving = sender.core.list_leaving(now)
            for hearer in self.members:
                if hearer is not sender and not hearer.deaf:
                    hearer.core.receive_peer_leaving(leaving, sender.name, now)
