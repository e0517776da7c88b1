"""What peers tell, as each slice hears it, and the wiring around it."""

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


class Told:
    """A router and what each slice was told, in order."""

    def __init__(self):
        self.slots = []
        self.settings = []
        self.endpoints = []
        self.presence = peers.Presence(OWN, "a")
        self.router = peers.Router(
            self.presence,
            types.SimpleNamespace(report=self.slots.append),
            types.SimpleNamespace(report=self.settings.append),
            types.SimpleNamespace(
                receive_peer_leaving=lambda *said: self.endpoints.append(said)
            ),
        )

    def publish(self, *events):
        for event in events:
            self.router.publish(event)


# Events of one peer; then its address, and whether its incarnations 5 and 6
# have ended, which decides whether their records are closed.
STORIES = {
    "unheard": ([], None, False, False),
    "joined": ([join(5)], "entry-2:5", False, False),
    "lost": ([join(5), lose(5)], None, True, False),
    "left": ([join(5), leave(5)], None, True, False),
    "heard again": ([join(5), lose(5), join(5)], "entry-2:5", False, False),
    "restarted": ([join(5), lose(5), join(6)], "entry-2:6", True, False),
    "restarted, late loss": (
        [join(5), join(6), lose(5)],
        "entry-2:6",
        True,
        False,
    ),
    "restarted, loss untold": ([join(5), join(6)], "entry-2:6", True, False),
    "both lost": ([join(5), join(6), lose(6)], None, True, True),
    "loss of a stranger": ([lose(6)], None, True, True),
    "earlier loss told last": (
        [join(6), lose(6), lose(5)],
        None,
        True,
        True,
    ),
}


@pytest.mark.parametrize("story", STORIES)
def test_presence_follows_the_incarnations(story):
    events, address, five_ended, six_ended = STORIES[story]
    told = Told()
    told.publish(*events)
    assert told.presence.find_address(PEER) == address
    assert told.presence.is_gone(PEER, 5) is five_ended
    assert told.presence.is_gone(PEER, 6) is six_ended
    near = (OWN, PEER) if address else (OWN,)
    assert told.presence.list_local() == near
    assert told.presence.count() == len(near)


def test_members_of_other_data_centres_are_counted_but_not_near():
    told = Told()
    told.publish(join(5, "far-1", "b"), join(5))
    assert told.presence.list_local() == (OWN, PEER)
    assert told.presence.count() == 3


@pytest.mark.parametrize(
    ("events", "is_told"),
    [
        ([join(5), lose(5)], True),
        ([join(5), leave(5)], True),
        ([join(5), lose(5), join(6)], True),
        ([join(5), join(6), lose(5)], False),
        ([join(5), join(6), leave(5)], False),
        ([join(5)], False),
    ],
)
def test_slots_and_settings_hear_only_of_a_peer_that_is_gone(events, is_told):
    told = Told()
    told.publish(*events)
    gone = [dispatch_messages.PeerLost(PEER)] if is_told else []
    assert told.slots == gone
    dropped = [settings_messages.PeerGone(PEER)] if is_told else []
    assert told.settings == dropped


def test_pressure_goes_to_the_slots_and_its_notices_to_the_endpoints():
    told = Told()
    pressure = dispatch_messages.Pressure(PEER, leaving=("runner-0",))
    heard = messages.PressureHeard(incarnation=5, sequence=1, pressure=pressure)
    told.publish(join(5), heard)
    assert told.slots == [pressure]
    assert told.endpoints == [(("runner-0",), PEER)]
    assert not told.settings


def test_a_peers_revision_goes_to_the_settings():
    told = Told()
    revision = messages.PeerRevision(
        instance=PEER, address="entry-2:5", revision=7
    )
    told.publish(join(5), revision)
    assert told.settings == [settings_messages.PeerRevision(PEER, 7)]


def make_config(**settings):
    chosen = {
        "instance": OWN,
        "data_centre": "a",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": "127.0.0.1:1",
        "streams": 2,
        "waiting": 2,
        **settings,
    }
    return config.EntryConfig(**chosen)


@pytest.fixture
def taken():
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        held.listen()
        yield f"127.0.0.1:{held.getsockname()[1]}"


def list_lasting():
    """Returns the threads that keep the process alive."""
    return {t for t in threading.enumerate() if not t.daemon}


@pytest.mark.parametrize("which", ["listen", "peer_listen"])
def test_a_taken_address_leaves_no_thread_and_no_member(which, taken):
    before = list_lasting()
    app = application.Application(
        make_config(**{which: taken}), clock.SystemClock()
    )
    with pytest.raises(OSError, match=r"in use|127\.0\.0\.1"):
        app.start()
    sites.wait_until(lambda: list_lasting() <= before)
    assert not app.membership.list_members()


def test_one_part_that_fails_to_stop_leaves_the_others_stopped(monkeypatch):
    before = list_lasting()
    app = application.Application(make_config(), clock.SystemClock())
    app.start()
    stop = app.endpoints.stop

    def fail():
        stop()
        raise TimeoutError

    monkeypatch.setattr(app.endpoints, "stop", fail)
    app.stop()
    sites.wait_until(lambda: list_lasting() <= before)


def test_an_unknown_number_of_instances_leaves_the_share_of_the_design_size():
    app = application.Application(make_config(), clock.SystemClock())
    app._run_housekeeping()
    design = budget.Budgets(0.0)
    assert app.platform.budget.keyed.share == design.keyed.share


class SkewedClock(clock.SystemClock):
    """A wall clock that goes ahead."""

    def __init__(self, ahead_s):
        self._ahead_s = ahead_s

    def wall(self):
        return super().wall() + self._ahead_s


def test_records_of_a_restart_whose_clock_fell_back_are_not_closed():
    """Peers judge an owner by the incarnation that membership tells them."""
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
