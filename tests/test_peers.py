"""Routing of peer events, and starting and stopping the application."""

import socket
import threading
import types

import pytest

from pollenfork import application
from pollenfork import clock
from pollenfork import config
from pollenfork import peers
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import messages
from pollenfork.settings import messages as settings_messages
from pollenfork.store import budget
from tests import sites

OWN = "entry-1"
PEER = "entry-2"


def join(incarnation, instance=PEER, data_centre="a"):
    return messages.MemberJoined(
        instance=instance,
        incarnation=incarnation,
        data_centre=data_centre,
        address=f"{instance}:{incarnation}",
    )


def lose(incarnation, instance=PEER):
    return messages.MemberLost(instance=instance, incarnation=incarnation)


def leave(incarnation, instance=PEER):
    return messages.MemberLeft(instance=instance, incarnation=incarnation)


class Harness:
    """A router and the events that each component received, in order."""

    def __init__(self):
        self.scheduler = []
        self.settings = []
        self.endpoints = []
        self.presence = peers.Presence(OWN, "a")
        self.router = peers.Router(
            self.presence,
            types.SimpleNamespace(report=self.scheduler.append),
            types.SimpleNamespace(report=self.settings.append),
            types.SimpleNamespace(
                receive_peer_leaving=lambda *args: self.endpoints.append(args)
            ),
        )

    def publish(self, *events):
        for event in events:
            self.router.publish(event)


# Events of one peer; then its expected address, and whether its incarnations 5
# and 6 have ended, which decides whether their records are closed.
SEQUENCES = {
    "no events": ([], None, False, False),
    "joined": ([join(5)], "entry-2:5", False, False),
    "lost": ([join(5), lose(5)], None, True, False),
    "left": ([join(5), leave(5)], None, True, False),
    "joined again": ([join(5), lose(5), join(5)], "entry-2:5", False, False),
    "restarted": ([join(5), lose(5), join(6)], "entry-2:6", True, False),
    "restarted, late loss": (
        [join(5), join(6), lose(5)],
        "entry-2:6",
        True,
        False,
    ),
    "restarted, no loss event": ([join(5), join(6)], "entry-2:6", True, False),
    "both lost": ([join(5), join(6), lose(6)], None, True, True),
    "loss of an unknown peer": ([lose(6)], None, True, True),
    "earlier loss reported last": (
        [join(6), lose(6), lose(5)],
        None,
        True,
        True,
    ),
}


@pytest.mark.parametrize("sequence", SEQUENCES)
def test_presence_follows_the_incarnations(sequence):
    events, address, five_ended, six_ended = SEQUENCES[sequence]
    harness = Harness()
    harness.publish(*events)
    assert harness.presence.find_address(PEER) == address
    assert harness.presence.is_gone(PEER, 5) is five_ended
    assert harness.presence.is_gone(PEER, 6) is six_ended
    local = (OWN, PEER) if address else (OWN,)
    assert harness.presence.list_local() == local
    assert harness.presence.count() == len(local)


def test_members_of_other_data_centres_are_counted_but_not_local():
    harness = Harness()
    harness.publish(join(5, "far-1", "b"), join(5))
    assert harness.presence.list_local() == (OWN, PEER)
    assert harness.presence.count() == 3


@pytest.mark.parametrize(
    ("events", "is_notified"),
    [
        ([join(5), lose(5)], True),
        ([join(5), leave(5)], True),
        ([join(5), lose(5), join(6)], True),
        ([join(5), join(6), lose(5)], False),
        ([join(5), join(6), leave(5)], False),
        ([join(5)], False),
    ],
)
def test_scheduler_and_settings_are_notified_only_of_ended_peers(
    events, is_notified
):
    harness = Harness()
    harness.publish(*events)
    gone = [dispatch_messages.PeerLost(PEER)] if is_notified else []
    assert harness.scheduler == gone
    dropped = [settings_messages.PeerGone(PEER)] if is_notified else []
    assert harness.settings == dropped


def test_pressure_goes_to_the_scheduler_and_its_notices_to_the_endpoints():
    harness = Harness()
    pressure = dispatch_messages.Pressure(PEER, leaving=("runner-0",))
    event = messages.PressureHeard(incarnation=5, sequence=1, pressure=pressure)
    harness.publish(join(5), event)
    assert harness.scheduler == [pressure]
    assert harness.endpoints == [(("runner-0",), PEER)]
    assert not harness.settings


def test_a_peers_revision_goes_to_the_settings():
    harness = Harness()
    revision = messages.PeerRevision(
        instance=PEER, address="entry-2:5", revision=7
    )
    harness.publish(join(5), revision)
    assert harness.settings == [settings_messages.PeerRevision(PEER, 7)]


def make_config(**settings):
    all_settings = {
        "instance": OWN,
        "data_centre": "a",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": "127.0.0.1:1",
        "streams": 2,
        "waiting": 2,
        **settings,
    }
    return config.EntryConfig(**all_settings)


@pytest.fixture
def used_address():
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        held.listen()
        yield f"127.0.0.1:{held.getsockname()[1]}"


def list_foreground_threads():
    """Returns the non-daemon threads, which keep the process alive."""
    return {t for t in threading.enumerate() if not t.daemon}


@pytest.mark.parametrize("setting", ["listen", "peer_listen"])
def test_address_in_use_leaves_no_thread_and_no_member(setting, used_address):
    before = list_foreground_threads()
    app = application.Application(
        make_config(**{setting: used_address}), clock.SystemClock()
    )
    with pytest.raises(OSError, match=r"in use|127\.0\.0\.1"):
        app.start()
    sites.wait_until(lambda: list_foreground_threads() <= before)
    assert not app.membership.list_members()


def test_failure_to_stop_one_component_still_stops_the_others(monkeypatch):
    before = list_foreground_threads()
    app = application.Application(make_config(), clock.SystemClock())
    app.start()
    stop = app.endpoints.stop

    def fail():
        stop()
        raise TimeoutError

    monkeypatch.setattr(app.endpoints, "stop", fail)
    app.stop()
    sites.wait_until(lambda: list_foreground_threads() <= before)


def test_unknown_instance_count_keeps_the_default_budget_share():
    app = application.Application(make_config(), clock.SystemClock())
    app._run_housekeeping()
    design = budget.Budgets(0.0)
    assert app.platform.budget.keyed.share == design.keyed.share


class SkewedClock(clock.SystemClock):
    """A clock whose wall time is ahead."""

    def __init__(self, ahead_s):
        self._ahead_s = ahead_s

    def wall(self):
        return super().wall() + self._ahead_s


def test_records_of_an_instance_restarted_with_an_earlier_clock_stay_open():
    """Peers decide by the incarnation from membership if an owner is gone."""
    peer = application.Application(
        make_config(instance=PEER), clock.SystemClock()
    )
    peer.start()
    settings = make_config(peers=(peer.membership.address,))
    former = application.Application(settings, SkewedClock(3600.0))
    former.start()
    sites.wait_until(lambda: OWN in peer._presence.list_local())
    earlier = former.membership.incarnation
    former.stop()
    sites.wait_until(lambda: OWN not in peer._presence.list_local())
    restarted = application.Application(settings, clock.SystemClock())
    restarted.start()
    sites.wait_until(lambda: OWN in peer._presence.list_local())
    owner = restarted._get_owner()
    assert owner.incarnation > earlier
    assert peer._presence.is_gone(OWN, earlier)
    assert not peer._presence.is_gone(OWN, owner.incarnation)
    restarted.stop()
    peer.stop()
