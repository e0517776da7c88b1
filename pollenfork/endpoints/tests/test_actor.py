"""The package as a whole: actor, timers, platform and an engine over HTTP."""

import pytest
import result

from pollenfork import clock
from pollenfork import config
from pollenfork import ids
from pollenfork import timers
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import actor
from pollenfork.endpoints import client
from pollenfork.endpoints import errors
from pollenfork.endpoints import messages
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.standin.engine import config as engine_configs
from pollenfork.standin.engine import front
from pollenfork.standin.platform import config as platform_configs
from pollenfork.standin.platform import fake

E1 = ids.EndpointId("e1")
_PASSES = 40  # More than the messages that one tick leads to.


class InlineEndpoints(actor.Endpoints):
    """Makes calls in the actor's thread, without a pool."""

    def _submit(self, call, run):
        run()


class Setup:
    """One instance, one engine and the platform."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.timers = timers.Timers(self.clock)
        self.platform = fake.FakePlatform(self.clock)
        self.engine = front.EngineStandin(
            engine_configs.EngineConfig(), self.clock
        )
        self.address = self.engine.start()
        self.updates = []
        self.hints = []
        self.listener_fails = False
        self.live_instances = (ids.InstanceId("i1"),)
        pool = client.make_pool()
        self.endpoints = InlineEndpoints(
            config.EntryConfig(
                instance=ids.InstanceId("i1"),
                data_centre=ids.DataCentre("dc1"),
                listen="",
                peer_listen="",
                platform="",
            ),
            self.clock,
            self.platform.table,
            self.platform.instances,
            self.platform.weights,
            lambda settings: client.HttpEndpoint(settings.address, pool),
            self.record,
            lambda: self.live_instances,
            publish_hint=self.hints.append,
        )
        self.endpoints.start(self.timers)

    def record(self, update):
        if self.listener_fails:
            raise RuntimeError("the listener fails")
        self.updates.append(update)

    def apply(self, *models):
        endpoint = model.EndpointSettings(
            address=self.address,
            data_centre=ids.DataCentre("dc1"),
            models=models,
            checks_fencing=True,
        )
        remote = model.EndpointSettings(
            address="10.9.9.9:1", data_centre=ids.DataCentre("dc2")
        )
        root = model.RootSettings(endpoints={E1: endpoint, "e9": remote})
        tree = model.Tree(root=root)
        self.endpoints.apply(
            settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))
        )

    def run(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.clock.advance(0.25)
            self.timers.run_due()
            for _ in range(_PASSES):
                self.endpoints.list_endpoints()

    def list_states(self):
        notices = dispatch_messages.EndpointNotice
        return [n.state for n in self.updates if isinstance(n, notices)]

    def stop(self):
        self.endpoints.stop()
        self.engine.stop()


@pytest.fixture(name="setup")
def fixture_site():
    setup = Setup()
    yield setup
    setup.stop()


def test_engine_is_reported_loaded_and_drained(setup):
    setup.apply("model", "m@2")
    setup.run(8.0)
    assert setup.list_states() == [dispatch_messages.EndpointState.LIVE]
    reports = [
        update
        for update in setup.updates
        if isinstance(update, dispatch_messages.EndpointReport)
    ]
    assert "m@2" in reports[-1].models
    assert reports[-1].measured_at <= setup.clock.monotonic()
    [order] = setup.engine.core.orders.carried_out
    assert (order.argument, order.fencing) == ("m@2", 1)

    assert setup.endpoints.drain(E1) == result.Ok(None)
    assert setup.endpoints.list_leaving() == (E1,)
    assert setup.endpoints.drain(E1) == result.Ok(None)  # It is stored already.
    setup.run(8.0)
    assert setup.engine.core.orders.draining
    assert setup.list_states()[-1] is dispatch_messages.EndpointState.LEAVING
    [view] = setup.endpoints.list_endpoints()
    assert view.fencing == 2
    assert view.leaving_sources == (
        messages.LeavingSource.DRAIN,
        messages.LeavingSource.READINESS,
    )
    assert setup.endpoints.withdraw_drain(E1) == result.Ok(None)
    setup.run(1.0)
    [view] = setup.endpoints.list_endpoints()
    assert view.leaving_sources == (messages.LeavingSource.READINESS,)


def test_drain_fails_if_unknown_or_not_stored(setup):
    setup.apply("model")
    setup.run(1.0)
    unknown = setup.endpoints.drain(ids.EndpointId("e9"))
    assert isinstance(unknown.err_value, errors.UnknownEndpoint)
    setup.platform.set_faults(platform_configs.Faults(down=True))
    refused = setup.endpoints.drain(E1)
    assert isinstance(refused.err_value, errors.DrainNotStored)
    assert setup.endpoints.list_leaving() == ()


def test_drain_stored_first_by_another_instance_succeeds(setup):
    setup.apply("model")
    setup.run(1.0)
    other = setup.endpoints._core.make_drain(E1, draining=True)
    setup.platform.table.commit(other.transaction)
    assert setup.endpoints.drain(E1) == result.Ok(None)
    setup.run(0.5)
    assert setup.endpoints.list_leaving() == (E1,)


def test_drain_whose_answer_was_lost_is_read_back(setup):
    setup.apply("model")
    setup.run(1.0)
    setup.platform.set_faults(
        platform_configs.Faults(
            lose=platform_configs.Loss.AFTER_EFFECT,
            only=(platform_configs.Operation.COMMIT,),
            times=1,
        )
    )
    lost = setup.endpoints.drain(E1)
    assert isinstance(lost.err_value, errors.DrainNotStored)
    setup.run(9.0)
    assert setup.endpoints.list_leaving() == (E1,)


def test_peer_report_stops_new_work_and_is_not_passed_on(setup):
    setup.apply("model")
    setup.live_instances = (ids.InstanceId("i1"), ids.InstanceId("i2"))
    setup.run(2.0)
    setup.endpoints.receive_peer_leaving((E1,), ids.InstanceId("i2"))
    setup.run(0.25)
    assert setup.list_states()[-1] is dispatch_messages.EndpointState.LEAVING
    assert setup.endpoints.list_leaving() == ()
    setup.endpoints.receive_peer_leaving((), ids.InstanceId("i2"))
    setup.run(0.25)
    assert setup.list_states()[-1] is dispatch_messages.EndpointState.LIVE


def test_lost_peer_does_not_withdraw_its_report(setup):
    setup.apply("model")
    setup.live_instances = (ids.InstanceId("i1"), ids.InstanceId("i2"))
    setup.run(2.0)
    setup.endpoints.receive_peer_leaving((E1,), ids.InstanceId("i2"))
    setup.run(0.25)
    setup.live_instances = (ids.InstanceId("i1"),)
    setup.endpoints.receive_peer_leaving((), ids.InstanceId("i2"))
    setup.run(5.0)
    assert setup.list_states()[-1] is dispatch_messages.EndpointState.LEAVING
    setup.run(120.0)
    assert setup.list_states()[-1] is dispatch_messages.EndpointState.LIVE


def test_failing_listener_does_not_stop_the_actor(setup):
    setup.listener_fails = True
    setup.apply("model")
    setup.run(3.0)
    setup.listener_fails = False
    setup.run(3.0)
    assert setup.updates


def test_cache_events_become_hints(setup):
    setup.apply("model")
    setup.engine.core.cache.insert((5, 6), setup.clock.monotonic())
    setup.run(2.0)
    assert setup.hints[0].stored == (5, 6)
