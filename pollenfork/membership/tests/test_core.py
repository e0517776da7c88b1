"""Protocol decisions: suspicion, pauses, refutations, restarts, notices."""

import msgspec
import pytest

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import actions
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import pressures
from pollenfork.membership import wire
from pollenfork.membership.tests import network

_STATUS = network.STATUS
# Silence, one refutation by the last receiver, removal, one heartbeat.
_REMOVED_S = 1.5 + 1.5 + 2.0 + 0.4


def _start(*centres):
    net = network.Network(1, *centres)
    for name in net.nodes:
        net.start(name)
    net.run(5.0)
    return net


def _kinds(node, instance):
    return [
        type(event)
        for event in node.events
        if getattr(event, "instance", None) == instance
        and not isinstance(event, messages.PeerRevision)
    ]


def _status(node, instance, now):
    views = {view.instance: view.status for view in node.core.view(now)}
    return views.get(instance)


def _find_last_named(net, source):
    return [
        packet
        for packet in net.history
        if packet.source == source
        and wire.decode_heartbeat(packet.body).unwrap().instance
    ][-1]


def _update(heartbeat, status, sequence):
    return wire.MemberUpdate(
        heartbeat.instance,
        heartbeat.incarnation,
        sequence,
        status,
        f"{heartbeat.instance}:1",
    )


def _send_update(node, net, update):
    """Sends the node an update from another member."""
    sender = wire.Heartbeat(
        format=1,
        instance=ids.InstanceId("sender"),
        data_centre=ids.DataCentre("a"),
        incarnation=ids.Incarnation(1),
        sequence=1,
        period_ms=60_000,
        status=_STATUS.LIVE,
        revision=ids.Revision(1),
        updates=(update,),
    )
    net.execute(node, node.core.receive_heartbeat(sender, "sender:1", net.now))


def test_killed_member_is_suspected_then_lost_by_all():
    net = _start("a", "a", "a", "a")
    net.kill("entry-0")
    net.run(_REMOVED_S)
    for node in net.running():
        assert _kinds(node, "entry-0") == [
            messages.MemberJoined,
            messages.MemberSuspected,
            messages.MemberLost,
        ]


def test_leaving_member_is_removed_immediately_though_listed():
    net = _start("a", "a", "a")
    net.leave("entry-0")
    net.run(0.2)
    for node in net.running():
        assert _kinds(node, "entry-0")[1:] == [messages.MemberLeft]
    for packet in list(net.history):
        net.deliver(packet)
    net.run(30.0)
    for node in net.running():
        assert _status(node, "entry-0", net.now) is _STATUS.LEFT
        assert len(_kinds(node, "entry-0")) == 2


def test_member_that_another_receives_is_not_lost():
    net = _start("a", "a", "a")
    net.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    net.run(60.0)
    kinds = _kinds(net.nodes["entry-0"], "entry-1")
    assert messages.SuspicionRefuted in kinds
    assert messages.MemberLost not in kinds


def test_healed_partition_rejoins_without_list():
    net = _start("a", "a")
    net.listed = ()
    net.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    net.run(10.0)
    nodes = net.running()
    assert _status(nodes[0], "entry-1", net.now) is _STATUS.LOST
    net.cuts.clear()
    net.run(3.0)
    for node in nodes:
        assert _kinds(node, "entry-0") or _kinds(node, "entry-1")
        assert len(node.present(net.now)) == 2


def test_member_back_after_loss_publishes_its_revision_again():
    net = _start("a", "a")
    net.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    net.run(10.0)
    node = net.nodes["entry-0"]
    lost = [type(event) for event in node.events].index(messages.MemberLost)
    net.cuts.clear()
    net.run(3.0)
    revisions = [
        event.revision
        for event in node.events[lost:]
        if isinstance(event, messages.PeerRevision)
    ]
    assert revisions == [net.nodes["entry-1"].revision]


def test_pause_of_this_instance_causes_no_suspicion():
    net = _start("a", "a", "a")
    paused = net.nodes["entry-0"]
    core, paused.core = paused.core, None
    net.run(30.0)
    net.packets.clear()  # It ticks before it receives anything.
    paused.core = core
    before = len(paused.events)
    net.run(1.0)
    found = paused.events[before:]
    assert not [e for e in found if isinstance(e, messages.MemberSuspected)]


@pytest.mark.parametrize("skew_s", [-3600.0, 0.0, 3600.0])
@pytest.mark.parametrize("other", ["a", "b"])
def test_restart_at_same_address_replaces_previous_incarnation(skew_s, other):
    net = _start("a", other)
    previous = net.nodes["entry-0"].core.incarnation
    net.start("entry-0", skew_s)
    net.run(1.4)  # Less than the silence timeout.
    core = net.nodes["entry-0"].core
    assert core.incarnation > previous
    for node in net.running():
        present = node.present(net.now)
        assert present["entry-0"] == core.incarnation
    assert _kinds(net.nodes["entry-1"], "entry-0")[:3] == [
        messages.MemberJoined,
        messages.MemberLost,
        messages.MemberJoined,
    ]


def test_departed_member_returns_though_its_clock_was_set_back():
    net = _start("a", "a")
    net.leave("entry-0")
    net.run(1.0)
    net.start("entry-0", -3600.0)
    net.run(1.0)
    present = net.nodes["entry-1"].present(net.now)
    assert present["entry-0"] == net.nodes["entry-0"].core.incarnation


def test_resumed_predecessor_at_other_address_is_replaced():
    net = _start("a", "a")
    node = net.nodes["entry-1"]
    member = node.core.view(net.now)[0]
    later = wire.Heartbeat(
        format=1,
        instance=member.instance,
        data_centre=member.data_centre,
        incarnation=ids.Incarnation(member.incarnation + 5),
        sequence=1,
        period_ms=60_000,
        status=_STATUS.LIVE,
        revision=ids.Revision(1),
    )
    node.core.receive_heartbeat(later, "replacement:1", net.now)
    net.run(3.0)
    assert node.present(net.now)["entry-0"] == later.incarnation
    assert net.nodes["entry-0"].core.incarnation == member.incarnation


def test_lost_delta_causes_one_fetch_and_no_stale_pressure():
    net = _start("a", "a")
    node = net.nodes["entry-0"]
    net.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    net.run(0.5)
    net.cuts.clear()
    before = len(node.reports)
    net.run(3.0)
    received = [e for e in node.events if isinstance(e, messages.PressureHeard)]
    assert len(node.reports) == before + 1
    sequences = [event.sequence for event in received]
    assert sequences == sorted(set(sequences))
    assert len(sequences) > 20


def test_names_are_omitted_for_members_that_know_them():
    net = _start("a", "a", "a")
    net.history.clear()
    net.run(3.2)
    sent = [wire.decode_heartbeat(p.body).unwrap() for p in net.history]
    named = [heartbeat for heartbeat in sent if heartbeat.instance]
    assert len(sent) >= 6 * 15
    assert len(named) <= len(sent) / 6


def test_raised_incarnation_is_sent_with_names_immediately():
    net = _start("a", "a")
    node = net.nodes["entry-1"]
    update = wire.MemberUpdate(
        ids.InstanceId("entry-1"),
        node.core.incarnation,
        9,
        _STATUS.LEFT,
        "entry-1:1",
    )
    _send_update(node, net, update)
    net.run(0.4)
    present = net.nodes["entry-0"].present(net.now)
    assert present["entry-1"] == update.incarnation + 1


@pytest.mark.parametrize(
    ("later", "address"),
    [(0, "stranger:1"), (1, "entry-0:1"), (-1, "entry-0:1")],
)
def test_nameless_heartbeat_of_unknown_sender_is_ignored(later, address):
    net = _start("a", "a")
    node = net.nodes["entry-1"]
    net.kill("entry-0")
    heartbeat = wire.decode_heartbeat(
        _find_last_named(net, "entry-0:1").body
    ).unwrap()
    nameless = msgspec.structs.replace(
        heartbeat,
        instance=ids.InstanceId(""),
        data_centre=ids.DataCentre(""),
        incarnation=ids.Incarnation(heartbeat.incarnation + later),
        sequence=heartbeat.sequence + 100,
    )
    assert node.core.receive_heartbeat(nameless, address, net.now) == []


def test_concurrent_state_fetches_are_limited():
    net = network.Network(1, "a")
    net.start("entry-0")
    core = net.nodes["entry-0"].core
    heartbeat = wire.Heartbeat(1, "x", "a", 1, 1, 200, _STATUS.LIVE, 1)
    encoder = pressures.PressureEncoder()
    body = encoder.encode_delta(dispatch_messages.Pressure("x"), 0.0)
    asked = []
    for number in range(10):
        one = msgspec.structs.replace(
            heartbeat, instance=f"peer-{number}", pressure=body
        )
        found = core.receive_heartbeat(one, f"peer-{number}:1", 0.0)
        asked += [a for a in found if isinstance(a, actions.FetchState)]
    assert [fetch.instance for fetch in asked] == [
        f"peer-{number}" for number in range(4)
    ]
    core.receive_state("peer-0", None, 0.1)
    later = msgspec.structs.replace(one, sequence=2)
    found = core.receive_heartbeat(later, "peer-9:1", 0.3)
    assert actions.FetchState("peer-9", "peer-9:1") in found


def test_notice_reaches_every_data_centre_and_is_published_once():
    net = _start("a", "a", "b", "b", "c")
    net.nodes["entry-0"].leaving = (ids.EndpointId("runner-1"),)
    net.run(3.0)
    for node in net.running()[1:]:
        found = [
            event
            for event in node.events
            if isinstance(event, messages.EndpointLeavingHeard)
        ]
        assert [event.endpoint for event in found] == ["runner-1"], node.name


def test_only_revisions_reach_other_data_centres():
    net = _start("a", "b")
    net.nodes["entry-0"].revision = ids.Revision(9)
    net.run(3.0)
    far = net.nodes["entry-1"]
    assert not [e for e in far.events if isinstance(e, messages.PressureHeard)]
    view = far.core.view(net.now)[0]
    assert (view.instance, view.revision) == ("entry-0", 9)


def test_partitioned_data_centre_is_removed_and_rejoins():
    net = _start("a", "a", "b", "b")
    for near in ("entry-0:1", "entry-1:1"):
        for far in ("entry-2:1", "entry-3:1"):
            net.cuts.add(frozenset((near, far)))
    net.run(12.0)
    for node in net.running():
        assert len(node.present(net.now)) == 2
    net.cuts.clear()
    net.run(6.0)
    for node in net.running():
        assert len(node.present(net.now)) == 4


def test_unlisted_member_is_discovered_through_another():
    net = network.Network(1, "a", "a", "a")
    for name, known in (("entry-0", "entry-1"), ("entry-2", "entry-1")):
        net.nodes[name].knows = {known}
    net.nodes["entry-1"].knows = set()
    for name in net.nodes:
        net.start(name)
    net.run(3.0)
    for node in net.running():
        assert len(node.present(net.now)) == 3


def test_duplicate_and_old_heartbeats_have_no_effect():
    net = _start("a", "a", "a")
    before = {node.name: len(node.events) for node in net.running()}
    for packet in net.history:
        if packet.due < net.now - 0.1:
            net.deliver(packet)
    for node in net.running():
        assert len(node.events) == before[node.name]
        assert len(node.reports) <= 2  # The first delta of each peer.


def test_only_later_heartbeat_ends_suspicion():
    net = _start("a", "a")
    node = net.nodes["entry-1"]
    net.kill("entry-0")
    net.packets.clear()
    late = _find_last_named(net, "entry-0:1")
    net.run(2.0)
    heartbeat = wire.decode_heartbeat(late.body).unwrap()
    received = _update(heartbeat, _STATUS.LIVE, heartbeat.sequence + 5)
    _send_update(node, net, received)
    assert _status(node, "entry-0", net.now) is _STATUS.LIVE
    net.run(2.0)
    assert _status(node, "entry-0", net.now) is _STATUS.SUSPECTED
    for sequence, status in ((5, _STATUS.SUSPECTED), (6, _STATUS.LIVE)):
        later = msgspec.structs.replace(
            heartbeat, sequence=heartbeat.sequence + sequence
        )
        node.core.receive_heartbeat(later, late.source, net.now)
        assert _status(node, "entry-0", net.now) is status


def test_leaving_is_final_despite_later_heartbeats():
    net = _start("a", "a")
    node = net.nodes["entry-1"]
    net.kill("entry-0")
    late = _find_last_named(net, "entry-0:1")
    heartbeat = wire.decode_heartbeat(late.body).unwrap()
    _send_update(
        node, net, _update(heartbeat, _STATUS.LEFT, heartbeat.sequence)
    )
    later = msgspec.structs.replace(heartbeat, sequence=heartbeat.sequence + 9)
    node.core.receive_heartbeat(later, late.source, net.now)
    assert _status(node, "entry-0", net.now) is _STATUS.LEFT
    assert _kinds(node, "entry-0")[1:] == [messages.MemberLeft]


def test_updates_of_a_departure_end():
    net = _start("a", "a", "a", "a")
    net.leave("entry-0")
    net.run(3.0)
    for packet in net.history[-10:]:
        assert wire.decode_heartbeat(packet.body).unwrap().updates == ()


def test_notice_is_relayed_within_data_centre():
    net = _start("a", *["b"] * 9)
    net.nodes["entry-0"].leaving = (ids.EndpointId("runner-1"),)
    net.run(1.0)  # Each of the nine contacts "a" only every 2.25 s.
    for node in net.running()[1:]:
        kinds = [type(event) for event in node.events]
        assert messages.EndpointLeavingHeard in kinds


@pytest.mark.parametrize(
    ("later", "status", "address", "incarnation"),
    [
        (-3, _STATUS.LEFT, "x:1", 10),
        (-3, _STATUS.LIVE, "x:1", 10),
        (0, _STATUS.SUSPECTED, "x:1", 10),
        (0, _STATUS.LOST, "x:1", 10),
        (0, _STATUS.LEFT, "x:1", 11),
        (3, _STATUS.LIVE, "x:1", 14),
        (3, _STATUS.SUSPECTED, "x:1", 14),
        (3, _STATUS.LIVE, "elsewhere:1", 10),
        (3, _STATUS.SUSPECTED, "elsewhere:1", 10),
        (3, _STATUS.LOST, "elsewhere:1", 14),
        (3, _STATUS.LEFT, "elsewhere:1", 14),
    ],
)
def test_updates_about_this_instance(later, status, address, incarnation):
    identity = local_member.Identity(
        ids.InstanceId("x"), ids.DataCentre("a"), "x:1"
    )
    me = local_member.LocalMember(identity, ids.Incarnation(10))
    reported = ids.Incarnation(10 + later)
    me.receive_update(
        wire.MemberUpdate(identity.instance, reported, 5, status, address)
    )
    assert me.incarnation == incarnation
    assert me.status is _STATUS.LIVE


def test_heartbeat_with_own_name_has_no_effect():
    net = _start("a", "a")
    node = net.nodes["entry-0"]
    packet = _find_last_named(net, "entry-0:1")
    forged = msgspec.structs.replace(packet, target="entry-0:1")
    before = list(node.events)
    net.deliver(forged)
    assert node.events == before
