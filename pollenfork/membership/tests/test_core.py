"""Single decisions: silence, pauses, refutations, restarts, notices."""

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
# Silence, one refutation by the last who heard it, removal, a heartbeat.
_REMOVED_S = 1.5 + 1.5 + 2.0 + 0.4


def _start(*centres):
    world = network.Network(1, *centres)
    for name in world.nodes:
        world.start(name)
    world.run(5.0)
    return world


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


def _find_last_named(world, source):
    return [
        packet
        for packet in world.history
        if packet.source == source
        and wire.decode_heartbeat(packet.body).unwrap().instance
    ][-1]


def _note(heartbeat, status, sequence):
    return wire.MemberUpdate(
        heartbeat.instance,
        heartbeat.incarnation,
        sequence,
        status,
        f"{heartbeat.instance}:1",
    )


def _tell(node, world, note):
    """Lets another member say something to the node."""
    teller = wire.Heartbeat(
        format=1,
        instance=ids.InstanceId("teller"),
        data_centre=ids.DataCentre("a"),
        incarnation=ids.Incarnation(1),
        sequence=1,
        period_ms=60_000,
        status=_STATUS.LIVE,
        revision=ids.Revision(1),
        notes=(note,),
    )
    world.carry_out(
        node, node.core.receive_heartbeat(teller, "teller:1", world.now)
    )


def test_a_killed_member_is_suspected_then_lost_by_all_in_time():
    world = _start("a", "a", "a", "a")
    world.kill("entry-0")
    world.run(_REMOVED_S)
    for node in world.running():
        assert _kinds(node, "entry-0") == [
            messages.MemberJoined,
            messages.MemberSuspected,
            messages.MemberLost,
        ]


def test_a_leaving_member_is_gone_at_once_though_the_list_has_it():
    world = _start("a", "a", "a")
    world.leave("entry-0")
    world.run(0.2)
    for node in world.running():
        assert _kinds(node, "entry-0")[1:] == [messages.MemberLeft]
    for packet in list(world.history):
        world.deliver(packet)
    world.run(30.0)
    for node in world.running():
        assert _status(node, "entry-0", world.now) is _STATUS.LEFT
        assert len(_kinds(node, "entry-0")) == 2


def test_a_member_that_another_hears_stays_suspected_at_worst():
    world = _start("a", "a", "a")
    world.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    world.run(60.0)
    kinds = _kinds(world.nodes["entry-0"], "entry-1")
    assert messages.SuspicionRefuted in kinds
    assert messages.MemberLost not in kinds


def test_a_healed_partition_joins_again_without_the_list():
    world = _start("a", "a")
    world.listed = ()
    world.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    world.run(10.0)
    nodes = world.running()
    assert _status(nodes[0], "entry-1", world.now) is _STATUS.LOST
    world.cuts.clear()
    world.run(3.0)
    for node in nodes:
        assert _kinds(node, "entry-0") or _kinds(node, "entry-1")
        assert len(node.present(world.now)) == 2


def test_a_member_heard_again_tells_its_revision_again():
    world = _start("a", "a")
    world.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    world.run(10.0)
    node = world.nodes["entry-0"]
    lost = [type(event) for event in node.events].index(messages.MemberLost)
    world.cuts.clear()
    world.run(3.0)
    told = [
        event.revision
        for event in node.events[lost:]
        if isinstance(event, messages.PeerRevision)
    ]
    assert told == [world.nodes["entry-1"].revision]


def test_a_pause_of_this_instance_is_not_blamed_on_the_others():
    world = _start("a", "a", "a")
    paused = world.nodes["entry-0"]
    core, paused.core = paused.core, None
    world.run(30.0)
    world.packets.clear()  # It ticks before it hears anything.
    paused.core = core
    before = len(paused.events)
    world.run(1.0)
    found = paused.events[before:]
    assert not [e for e in found if isinstance(e, messages.MemberSuspected)]


@pytest.mark.parametrize("skew_s", [-3600.0, 0.0, 3600.0])
@pytest.mark.parametrize("other", ["a", "b"])
def test_a_restart_at_the_same_address_replaces_its_former_self(skew_s, other):
    world = _start("a", other)
    was = world.nodes["entry-0"].core.incarnation
    world.start("entry-0", skew_s)
    world.run(1.4)  # Less than the silence that starts a suspicion.
    core = world.nodes["entry-0"].core
    assert core.incarnation > was
    for node in world.running():
        present = node.present(world.now)
        assert present["entry-0"] == core.incarnation
    assert _kinds(world.nodes["entry-1"], "entry-0")[:3] == [
        messages.MemberJoined,
        messages.MemberLost,
        messages.MemberJoined,
    ]


def test_one_that_left_comes_back_though_its_clock_fell_back():
    world = _start("a", "a")
    world.leave("entry-0")
    world.run(1.0)
    world.start("entry-0", -3600.0)
    world.run(1.0)
    present = world.nodes["entry-1"].present(world.now)
    assert present["entry-0"] == world.nodes["entry-0"].core.incarnation


def test_a_woken_predecessor_at_another_address_gives_way():
    world = _start("a", "a")
    node = world.nodes["entry-1"]
    member = node.core.view(world.now)[0]
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
    node.core.receive_heartbeat(later, "replacement:1", world.now)
    world.run(3.0)
    assert node.present(world.now)["entry-0"] == later.incarnation
    assert world.nodes["entry-0"].core.incarnation == member.incarnation


def test_a_lost_difference_costs_one_fetch_and_no_stale_pressure():
    world = _start("a", "a")
    node = world.nodes["entry-0"]
    world.cuts.add(frozenset(("entry-0:1", "entry-1:1")))
    world.run(0.5)
    world.cuts.clear()
    before = len(node.reports)
    world.run(3.0)
    heard = [e for e in node.events if isinstance(e, messages.PressureHeard)]
    assert len(node.reports) == before + 1
    sequences = [event.sequence for event in heard]
    assert sequences == sorted(set(sequences))
    assert len(sequences) > 20


def test_names_are_left_out_towards_members_that_know_them():
    world = _start("a", "a", "a")
    world.history.clear()
    world.run(3.2)
    sent = [wire.decode_heartbeat(p.body).unwrap() for p in world.history]
    named = [heartbeat for heartbeat in sent if heartbeat.instance]
    assert len(sent) >= 6 * 15
    assert len(named) <= len(sent) / 6


def test_a_later_incarnation_is_told_with_names_at_once():
    world = _start("a", "a")
    node = world.nodes["entry-1"]
    note = wire.MemberUpdate(
        ids.InstanceId("entry-1"),
        node.core.incarnation,
        9,
        _STATUS.LEFT,
        "entry-1:1",
    )
    _tell(node, world, note)
    world.run(0.4)
    present = world.nodes["entry-0"].present(world.now)
    assert present["entry-1"] == note.incarnation + 1


@pytest.mark.parametrize(
    ("later", "address"),
    [(0, "stranger:1"), (1, "entry-0:1"), (-1, "entry-0:1")],
)
def test_a_nameless_heartbeat_of_a_stranger_is_ignored(later, address):
    world = _start("a", "a")
    node = world.nodes["entry-1"]
    world.kill("entry-0")
    heartbeat = wire.decode_heartbeat(
        _find_last_named(world, "entry-0:1").body
    ).unwrap()
    nameless = msgspec.structs.replace(
        heartbeat,
        instance=ids.InstanceId(""),
        data_centre=ids.DataCentre(""),
        incarnation=ids.Incarnation(heartbeat.incarnation + later),
        sequence=heartbeat.sequence + 100,
    )
    assert node.core.receive_heartbeat(nameless, address, world.now) == []


def test_few_whole_states_are_fetched_at_a_time():
    world = network.Network(1, "a")
    world.start("entry-0")
    core = world.nodes["entry-0"].core
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


def test_a_notice_reaches_every_data_centre_and_is_told_once():
    world = _start("a", "a", "b", "b", "c")
    world.nodes["entry-0"].leaving = (ids.EndpointId("runner-1"),)
    world.run(3.0)
    for node in world.running()[1:]:
        found = [
            event
            for event in node.events
            if isinstance(event, messages.EndpointLeavingHeard)
        ]
        assert [event.endpoint for event in found] == ["runner-1"], node.name


def test_pressure_stays_in_its_data_centre_and_revisions_travel():
    world = _start("a", "b")
    world.nodes["entry-0"].revision = ids.Revision(9)
    world.run(3.0)
    far = world.nodes["entry-1"]
    assert not [e for e in far.events if isinstance(e, messages.PressureHeard)]
    view = far.core.view(world.now)[0]
    assert (view.instance, view.revision) == ("entry-0", 9)


def test_a_data_centre_cut_off_is_removed_whole_and_comes_back():
    world = _start("a", "a", "b", "b")
    for near in ("entry-0:1", "entry-1:1"):
        for far in ("entry-2:1", "entry-3:1"):
            world.cuts.add(frozenset((near, far)))
    world.run(12.0)
    for node in world.running():
        assert len(node.present(world.now)) == 2
    world.cuts.clear()
    world.run(6.0)
    for node in world.running():
        assert len(node.present(world.now)) == 4


def test_a_member_that_no_list_names_is_introduced_by_another():
    world = network.Network(1, "a", "a", "a")
    for name, known in (("entry-0", "entry-1"), ("entry-2", "entry-1")):
        world.nodes[name].knows = {known}
    world.nodes["entry-1"].knows = set()
    for name in world.nodes:
        world.start(name)
    world.run(3.0)
    for node in world.running():
        assert len(node.present(world.now)) == 3


def test_copies_and_old_heartbeats_cause_nothing():
    world = _start("a", "a", "a")
    before = {node.name: len(node.events) for node in world.running()}
    for packet in world.history:
        if packet.due < world.now - 0.1:
            world.deliver(packet)
    for node in world.running():
        assert len(node.events) == before[node.name]
        assert len(node.reports) <= 2  # The first difference of each peer.


def test_a_suspicion_ends_only_by_a_later_heartbeat():
    world = _start("a", "a")
    node = world.nodes["entry-1"]
    world.kill("entry-0")
    world.packets.clear()
    late = _find_last_named(world, "entry-0:1")
    world.run(2.0)
    heartbeat = wire.decode_heartbeat(late.body).unwrap()
    heard = _note(heartbeat, _STATUS.LIVE, heartbeat.sequence + 5)
    _tell(node, world, heard)
    assert _status(node, "entry-0", world.now) is _STATUS.LIVE
    world.run(2.0)
    assert _status(node, "entry-0", world.now) is _STATUS.SUSPECTED
    for sequence, status in ((5, _STATUS.SUSPECTED), (6, _STATUS.LIVE)):
        later = msgspec.structs.replace(
            heartbeat, sequence=heartbeat.sequence + sequence
        )
        node.core.receive_heartbeat(later, late.source, world.now)
        assert _status(node, "entry-0", world.now) is status


def test_leaving_is_final_though_later_heartbeats_are_under_way():
    world = _start("a", "a")
    node = world.nodes["entry-1"]
    world.kill("entry-0")
    late = _find_last_named(world, "entry-0:1")
    heartbeat = wire.decode_heartbeat(late.body).unwrap()
    _tell(node, world, _note(heartbeat, _STATUS.LEFT, heartbeat.sequence))
    later = msgspec.structs.replace(heartbeat, sequence=heartbeat.sequence + 9)
    node.core.receive_heartbeat(later, late.source, world.now)
    assert _status(node, "entry-0", world.now) is _STATUS.LEFT
    assert _kinds(node, "entry-0")[1:] == [messages.MemberLeft]


def test_talk_of_a_departure_ends():
    world = _start("a", "a", "a", "a")
    world.leave("entry-0")
    world.run(3.0)
    for packet in world.history[-10:]:
        assert wire.decode_heartbeat(packet.body).unwrap().notes == ()


def test_one_who_is_told_tells_its_data_centre():
    world = _start("a", *["b"] * 9)
    world.nodes["entry-0"].leaving = (ids.EndpointId("runner-1"),)
    world.run(1.0)  # Each of the nine meets "a" itself only each 2.25 s.
    for node in world.running()[1:]:
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
def test_what_others_say_of_this_instance(later, status, address, incarnation):
    identity = local_member.Identity(
        ids.InstanceId("x"), ids.DataCentre("a"), "x:1"
    )
    me = local_member.LocalMember(identity, ids.Incarnation(10))
    said = ids.Incarnation(10 + later)
    me.receive_update(
        wire.MemberUpdate(identity.instance, said, 5, status, address)
    )
    assert me.incarnation == incarnation
    assert me.status is _STATUS.LIVE


def test_a_heartbeat_in_ones_own_name_changes_nothing():
    world = _start("a", "a")
    node = world.nodes["entry-0"]
    packet = _find_last_named(world, "entry-0:1")
    forged = msgspec.structs.replace(packet, target="entry-0:1")
    before = list(node.events)
    world.deliver(forged)
    assert node.events == before
