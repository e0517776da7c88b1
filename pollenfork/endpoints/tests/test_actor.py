"""The slice as wired: actor, timers, platform and an engine over HTTP."""

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
_PASSES = 40  # More than the steps from one tick to the last answer.


class InlineEndpoints(actor.Endpoints):
    """Makes its calls at once, in the actor's thread."""

    def _submit(self, call, run):
        run()


class Site:
    """One instance, one engine and the platform."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.timers = timers.Timers(self.clock)
        self.platform = fake.FakePlatform(self.clock)
        self.engine = front.EngineStandin(
            engine_configs.EngineConfig(), self.clock
        )
        self.address = self.engine.start()
        self.news = []
        self.hints = []
        self.fails = False
        self.live = (ids.InstanceId("i1"),)
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
            self.hear,
            lambda: self.live,
            publish_hint=self.hints.append,
        )
        self.endpoints.start(self.timers)

    def hear(self, news):
        if self.fails:
            raise RuntimeError("a listener of the test fails")
        self.news.append(news)

    def apply(self, *models):
        endpoint = model.EndpointSettings(
            address=self.address,
            data_centre=ids.DataCentre("dc1"),
            models=models,
            checks_fencing=True,
        )
        far = model.EndpointSettings(
            address="10.9.9.9:1", data_centre=ids.DataCentre("dc2")
        )
        root = model.RootSettings(endpoints={E1: endpoint, "e9": far})
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

    def read_states(self):
        notices = dispatch_messages.EndpointNotice
        return [n.state for n in self.news if isinstance(n, notices)]

    def stop(self):
        self.endpoints.stop()
        self.engine.stop()


@pytest.fixture(name="site")
def fixture_site():
    site = Site()
    yield site
    site.stop()


def test_engine_is_reported_loaded_and_drained(site):
    site.apply("model", "m@2")
    site.run(8.0)
    assert site.read_states() == [dispatch_messages.EndpointState.LIVE]
    reports = [
        news
        for news in site.news
        if isinstance(news, dispatch_messages.EndpointReport)
    ]
    assert "m@2" in reports[-1].models
    assert reports[-1].measured_at <= site.clock.monotonic()
    [order] = site.engine.core.orders.carried_out
    assert (order.argument, order.fencing) == ("m@2", 1)

    assert site.endpoints.drain(E1) == result.Ok(None)
    assert site.endpoints.list_leaving() == (E1,)
    assert site.endpoints.drain(E1) == result.Ok(None)  # Stands already.
    site.run(8.0)
    assert site.engine.core.orders.draining
    assert site.read_states()[-1] is dispatch_messages.EndpointState.LEAVING
    [view] = site.endpoints.list_endpoints()
    assert view.fencing == 2
    assert view.leaving_sources == (
        messages.LeavingSource.DRAIN,
        messages.LeavingSource.READINESS,
    )
    assert site.endpoints.withdraw_drain(E1) == result.Ok(None)
    site.run(1.0)
    [view] = site.endpoints.list_endpoints()
    assert view.leaving_sources == (messages.LeavingSource.READINESS,)


def test_drain_is_refused_where_it_cannot_be_kept(site):
    site.apply("model")
    site.run(1.0)
    unknown = site.endpoints.drain(ids.EndpointId("e9"))
    assert isinstance(unknown.err_value, errors.UnknownEndpoint)
    site.platform.set_faults(platform_configs.Faults(down=True))
    refused = site.endpoints.drain(E1)
    assert isinstance(refused.err_value, errors.DrainNotStored)
    assert site.endpoints.list_leaving() == ()


def test_drain_stored_by_another_instance_first_counts_as_stored(site):
    site.apply("model")
    site.run(1.0)
    other = site.endpoints._core.make_drain(E1, draining=True)
    site.platform.table.commit(other.transaction)
    assert site.endpoints.drain(E1) == result.Ok(None)
    site.run(0.5)
    assert site.endpoints.list_leaving() == (E1,)


def test_drain_whose_answer_was_lost_is_read_back(site):
    site.apply("model")
    site.run(1.0)
    site.platform.set_faults(
        platform_configs.Faults(
            lose=platform_configs.Loss.AFTER_EFFECT,
            only=(platform_configs.Operation.COMMIT,),
            times=1,
        )
    )
    lost = site.endpoints.drain(E1)
    assert isinstance(lost.err_value, errors.DrainNotStored)
    site.run(9.0)
    assert site.endpoints.list_leaving() == (E1,)


def test_peer_word_stops_new_work_and_is_not_passed_on(site):
    site.apply("model")
    site.live = (ids.InstanceId("i1"), ids.InstanceId("i2"))
    site.run(2.0)
    site.endpoints.receive_peer_leaving((E1,), ids.InstanceId("i2"))
    site.run(0.25)
    assert site.read_states()[-1] is dispatch_messages.EndpointState.LEAVING
    assert site.endpoints.list_leaving() == ()
    site.endpoints.receive_peer_leaving((), ids.InstanceId("i2"))
    site.run(0.25)
    assert site.read_states()[-1] is dispatch_messages.EndpointState.LIVE


def test_peer_that_is_lost_takes_nothing_back(site):
    site.apply("model")
    site.live = (ids.InstanceId("i1"), ids.InstanceId("i2"))
    site.run(2.0)
    site.endpoints.receive_peer_leaving((E1,), ids.InstanceId("i2"))
    site.run(0.25)
    site.live = (ids.InstanceId("i1"),)
    site.endpoints.receive_peer_leaving((), ids.InstanceId("i2"))
    site.run(5.0)
    assert site.read_states()[-1] is dispatch_messages.EndpointState.LEAVING
    site.run(120.0)
    assert site.read_states()[-1] is dispatch_messages.EndpointState.LIVE


def test_listener_that_fails_does_not_end_the_actor(site):
    site.fails = True
    site.apply("model")
    site.run(3.0)
    site.fails = False
    site.run(3.0)
    assert site.news


def test_cache_events_become_hints(site):
    site.apply("model")
    site.engine.core.cache.insert((5, 6), site.clock.monotonic())
    site.run(2.0)
    assert site.hints[0].stored == (5, 6)
