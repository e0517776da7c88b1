"""Simulated network of cores: losses, delays, duplicates and partitions."""

import random

import msgspec

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import actions
from pollenfork.membership import core
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import wire
from pollenfork.store import edges

TICK_S = 0.1
STATUS = messages.MemberStatus


class Packet(msgspec.Struct, frozen=True):
    due: float
    source: str
    target: str
    body: bytes


class Node:
    """One instance: its core while it runs, and its published events."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = ids.DataCentre(data_centre)
        self.address = f"{name}:1"
        self.core: core.Core | None = None
        self.events: list[messages.Event] = []
        self.reports: list[actions.Report] = []
        self.sent: list[dispatch_messages.Pressure] = []
        self.leaving: tuple[ids.EndpointId, ...] = ()
        self.revision = ids.Revision(1)
        # Restricts the list of instances that this node gets.
        self.listed_names: set[str] | None = None

    def present(self, now: float) -> dict[str, int]:
        """Returns the incarnations of the members present at this node."""
        assert self.core
        return {
            view.instance: view.incarnation
            for view in self.core.view(now)
            if view.status in (STATUS.LIVE, STATUS.SUSPECTED)
        }


class Network:
    def __init__(self, seed: int, *centres: str) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.delay_s = 0.0
        self.cuts: set[frozenset[str]] = set()
        self.packets: list[Packet] = []
        self.history: list[Packet] = []
        self.nodes = {
            f"entry-{number}": Node(f"entry-{number}", centre)
            for number, centre in enumerate(centres)
        }
        self.listed: tuple[edges.ListedInstance, ...] = ()
        self.publish_list()

    def publish_list(self) -> None:
        self.listed = tuple(
            edges.ListedInstance(
                node.name,
                edges.InstanceRole.ENTRY,
                node.data_centre,
                node.address,
                edges.InstanceStatus.LIVE,
            )
            for node in self.nodes.values()
        )

    def start(self, name: str, skew_s: float = 0.0) -> None:
        node = self.nodes[name]
        wall_ms = (1_000_000 + self.now + skew_s) * 1000
        node.core = core.Core(
            local_member.Identity(
                ids.InstanceId(name), node.data_centre, node.address
            ),
            ids.Incarnation(int(wall_ms)),
            random.Random(self.rng.random()),
            self.now,
        )
        node.events.clear()  # A new process hasn't seen the old events.

    def kill(self, name: str) -> None:
        self.nodes[name].core = None

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        assert node.core
        self.execute(node, node.core.leave(self.now))
        self.kill(name)

    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.core]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._deliver_due()
            for node in self.running():
                self._tick(node)

    def execute(self, node: Node, planned: list[actions.Action]) -> None:
        for action in planned:
            match action:
                case actions.Publish(event):
                    node.events.append(event)
                case actions.Report():
                    node.reports.append(action)
                case actions.SendHeartbeat(addresses, heartbeat):
                    body = wire.encode(heartbeat)
                    for address in addresses:
                        self._send(node.address, address, body)
                case actions.FetchList():
                    assert node.core
                    node.core.receive_list(
                        entry
                        for entry in self.listed
                        if node.listed_names is None
                        or entry.name in node.listed_names
                    )
                case _:
                    self._call(node, action)

    def deliver(self, packet: Packet) -> None:
        node = self._find_at(packet.target)
        if node is None or node.core is None:
            return
        heartbeat = wire.decode_heartbeat(packet.body).unwrap()
        planned = node.core.receive_heartbeat(
            heartbeat, packet.source, self.now
        )
        self.execute(node, planned)

    def _tick(self, node: Node) -> None:
        assert node.core
        self.execute(node, node.core.tick(self.now))
        if self.now >= node.core.heartbeat_at:
            pressure = dispatch_messages.Pressure(
                instance=ids.InstanceId(node.name),
                demands=(
                    dispatch_messages.Demand(
                        ids.ModelName("m"),
                        ids.Tier(1),
                        1 + self.rng.randrange(9),
                        500,
                    ),
                ),
                leaving=node.leaving,
            )
            node.sent.append(pressure)
            planned = node.core.send_heartbeat(
                self.now, pressure, node.revision
            )
            self.execute(node, planned)

    def _send(self, source: str, target: str, body: bytes) -> None:
        packet = Packet(self.now, source, target, body)
        self.history.append(packet)
        del self.history[:-200]
        if self._is_cut(source, target) or self.rng.random() < self.loss:
            return
        copies = 2 if self.loss and self.rng.random() < 0.2 else 1
        for _ in range(copies):
            due = self.now + self.rng.random() * self.delay_s
            self.packets.append(msgspec.structs.replace(packet, due=due))

    def _deliver_due(self) -> None:
        due = [packet for packet in self.packets if packet.due <= self.now]
        self.packets = [p for p in self.packets if p.due > self.now]
        for packet in due:
            self.deliver(packet)

    def _call(self, node: Node, action: actions.Action) -> None:
        assert isinstance(action, actions.FetchState | actions.SendSummary)
        assert node.core
        peer = self._find_at(action.address)
        cut = self._is_cut(node.address, action.address)
        if peer is None or peer.core is None or cut:
            if isinstance(action, actions.FetchState):
                node.core.receive_state(action.instance, None, self.now)
            return
        if isinstance(action, actions.FetchState):
            state = peer.core.compose_state()
            planned = node.core.receive_state(action.instance, state, self.now)
            self.execute(node, planned)
            return
        planned = peer.core.summaries.receive(action.summary, self.now)
        self.execute(peer, planned)
        answer = peer.core.summaries.compose(self.now)
        planned = node.core.summaries.receive(answer, self.now)
        self.execute(node, planned)

    def _find_at(self, address: str) -> Node | None:
        return self.nodes.get(address.removesuffix(":1"))

    def _is_cut(self, source: str, target: str) -> bool:
        return frozenset((source, target)) in self.cuts
