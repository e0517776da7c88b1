"""The actor with fake dependencies: their failures don't stop it."""

import random

import msgspec
import pytest
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import actor
from pollenfork.membership import core
from pollenfork.membership import errors
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import wire
from pollenfork.store import edges
from pollenfork.store import errors as platform_errors

_HEARTBEAT = wire.Heartbeat(
    format=1,
    instance=ids.InstanceId("entry-1"),
    data_centre=ids.DataCentre("a"),
    incarnation=ids.Incarnation(1),
    sequence=1,
    period_ms=200,
    status=messages.MemberStatus.LIVE,
    revision=ids.Revision(3),
    pressure=b"\xc1",
)


class FakeDatagrams:
    def __init__(self):
        self.sent = []
        self.tick_s = 0.2

    def send(self, body, addresses):
        self.sent.append((body, addresses))


class FakeClient:
    """Answers immediately in the caller's thread."""

    def __init__(self):
        self.calls = []
        self.answer = result.Err(errors.Unreachable())

    def fetch_state(self, address, on_answer):
        self.calls.append(address)
        on_answer(self.answer)

    def exchange(self, address, body, on_answer):
        self.calls.append(address)
        on_answer(self.answer)


class FakeList:
    def __init__(self):
        self.answer = result.Err(platform_errors.Unavailable())

    def fetch(self):
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class Harness:
    def __init__(self):
        self.clock = clock.ManualClock()
        self.datagrams = FakeDatagrams()
        self.client = FakeClient()
        self.list = FakeList()
        self.events = []
        self.publish = self.events.append
        identity = local_member.Identity(
            ids.InstanceId("entry-0"), ids.DataCentre("a"), "10.0.0.1:1"
        )
        self.ref = actor.MembershipActor.start(
            core.Core(identity, ids.Incarnation(1), random.Random(1), 0.0),
            actor.Edges(
                clock=self.clock,
                datagrams=self.datagrams,
                client=self.client,
                instance_list=self.list,
                read_pressure=lambda: dispatch_messages.Pressure(
                    identity.instance
                ),
                read_revision=lambda: ids.Revision(4),
                publish=lambda event: self.publish(event),
            ),
        )

    def tell(self, message):
        self.ref.tell(message)
        return self.ref.ask(actor.ListMembers())

    def failures(self):
        return self.ref.ask(actor.CountFailures())


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    harness.ref.stop()


def _make_datagram(heartbeat):
    return actor.DatagramHeard(wire.encode(heartbeat), "10.0.0.2:1")


def test_heartbeat_is_sent_on_tick_nearest_to_due_time(harness):
    harness.tell(actor.Time())
    assert len(harness.datagrams.sent) == 1
    assert harness.datagrams.tick_s == pytest.approx(0.2)
    sent = []
    for step_s in (0.0, 0.05, 0.1, 0.04, 0.21, 0.2):
        harness.clock.advance(step_s)
        harness.tell(actor.Time())
        sent.append(len(harness.datagrams.sent))
    assert sent == [1, 1, 2, 2, 3, 4]


def test_new_peer_is_listed_and_its_full_state_fetched(harness):
    views = harness.tell(_make_datagram(_HEARTBEAT))
    assert [view.instance for view in views] == ["entry-0", "entry-1"]
    assert views[1].address == "10.0.0.2:1"
    assert harness.client.calls == ["10.0.0.2:1"]
    assert harness.failures() == {"Undecodable": 1, "Unreachable": 1}


@pytest.mark.parametrize(
    ("message", "kind"),
    [
        (actor.DatagramHeard(b"garbage", "10.0.0.9:1"), "Undecodable"),
        (actor.DatagramHeard(bytes(9000), "10.0.0.9:1"), "Oversized"),
        (
            _make_datagram(msgspec.structs.replace(_HEARTBEAT, format=7)),
            "UnknownFormat",
        ),
        (
            actor.StateFetched(ids.InstanceId("x"), result.Ok(b"")),
            "Undecodable",
        ),
        (
            actor.SummaryAnswered("y:1", result.Err(errors.TimedOut())),
            "TimedOut",
        ),
        (
            actor.ListFetched(result.Err(platform_errors.Throttled())),
            "Throttled",
        ),
    ],
)
def test_failure_is_counted_and_changes_no_member(harness, message, kind):
    views = harness.tell(message)
    assert len(views) == 1
    assert harness.failures() == {kind: 1}


def test_exception_in_listener_does_not_stop_actor(harness):
    def fail(event):
        raise ValueError(event)

    harness.publish = fail
    harness.tell(_make_datagram(_HEARTBEAT))
    assert harness.client.calls  # Actions after the event were executed.
    harness.publish = harness.events.append
    harness.tell(
        _make_datagram(msgspec.structs.replace(_HEARTBEAT, sequence=2))
    )
    harness.tell(actor.Leave())
    # One failure each for MemberJoined and PeerRevision.
    assert harness.failures()["ValueError"] == 2
    last = wire.decode_heartbeat(harness.datagrams.sent[-1][0]).unwrap()
    assert last.status is messages.MemberStatus.LEFT


def test_summary_is_answered_and_invalid_one_rejected(harness):
    far = wire.Entry(
        wire.MemberUpdate(
            ids.InstanceId("far"),
            ids.Incarnation(1),
            1,
            messages.MemberStatus.LIVE,
            "10.1.0.1:1",
        ),
        ids.Revision(9),
    )
    summary = wire.Summary(1, far.update.instance, ids.DataCentre("b"), (far,))
    answer = harness.ref.ask(actor.ServeExchange(wire.encode(summary)))
    replied = wire.decode_summary(answer.unwrap()).unwrap()
    assert [entry.update.instance for entry in replied.entries] == ["entry-0"]
    joined, revised = harness.events
    assert (joined.instance, joined.data_centre) == ("far", "b")
    assert revised.revision == 9
    bad = harness.ref.ask(actor.ServeExchange(b"garbage"))
    assert isinstance(bad.unwrap_err(), errors.Undecodable)


def test_exception_in_list_does_not_stop_actor(harness):
    harness.list.answer = RuntimeError("bug")
    harness.tell(actor.Time())
    listed = edges.ListedInstance(
        "entry-1",
        edges.InstanceRole.ENTRY,
        ids.DataCentre("a"),
        "10.0.0.2:1",
        edges.InstanceStatus.LIVE,
    )
    harness.tell(actor.ListFetched(result.Ok((listed,))))
    harness.clock.advance(0.5)
    harness.tell(actor.Time())
    assert harness.datagrams.sent[-1][1] == ("10.0.0.2:1",)
