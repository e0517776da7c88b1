"""Interleaves writes, reads and faults of several instances on one table."""

import random

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import result

from pollenfork import failures
from pollenfork import metrics
from pollenfork.settings import actor
from pollenfork.settings import copies
from pollenfork.settings import core
from pollenfork.settings import errors
from pollenfork.settings import messages
from pollenfork.settings import paths
from pollenfork.settings import rows
from pollenfork.settings import state
from pollenfork.settings import store
from pollenfork.settings.tests import support

COUNT = 3
INSTANCES = st.integers(0, COUNT - 1)
PATHS = st.sampled_from(
    [
        "teams/linework/classes/summary/tier",
        "teams/ledger/classes/review/tier",
        "root/ceilings/linework/max_in_flight",
    ]
)
VALUES = st.integers(1, 9)  # Tiers 7 to 9 are invalid.
FAULTS = st.lists(
    st.sampled_from([None, "down", "lost_before", "lost_after"]), max_size=3
)


class Instance:
    """One instance: its table connection, action executor and writer."""

    def __init__(self, world: "SettingsMachine", number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"entry-{number}"
        self.table = support.FakeTable(world.table)
        self.site = support.Site(self.table, seed=number)
        self.reachable = True
        self.restarts = 0
        self.start()

    def start(self) -> None:
        """Starts without a tree, as after a restart."""
        self.restarts += 1
        rng = random.Random(self.number * 1000 + self.restarts)
        now = self.site.clock.monotonic()
        self.core = core.Core(rng, now)
        self.published: list[int] = []
        self.executor = actor.ActionExecutor(
            self.core,
            self.table,
            self.site.clock,
            metrics.Metrics(),
            self.fetch,
        )
        self.executor.subscribers.append(self.record_published)
        self.late_read: state.InForce | None = None
        self.late_copy: tuple[str, bytes] | None = None

    def fetch(self, peer: str) -> result.Result:
        held = self.world.instances[int(peer[-1])]
        if not held.reachable or held.core.in_force is None:
            return result.Err(failures.Failure())
        return result.Ok(copies.encode(held.core.in_force))

    def record_published(self, message: messages.TreeInForce) -> None:
        self.published.append(message.tree.revision)
        assert message.lookups.revision == message.tree.revision

    def receive_heartbeat(self, other: "Instance") -> None:
        revision = other.core.revision
        self.executor.handle(messages.PeerRevision(other.name, revision))

    def pass_time(self, seconds: float) -> None:
        self.site.clock.advance(seconds)
        self.executor.handle(messages.Tick())


class SettingsMachine(stateful.RuleBasedStateMachine):
    """Writes, races, lost answers, slow polls, peers, restarts, outages."""

    def __init__(self) -> None:
        super().__init__()
        self.table = support.FakeTable()
        self.contents: dict[int, dict[str, bytes]] = {0: {}}
        self.accepted: dict[int, tuple[str, str]] = {}
        self.unknown: dict[str, tuple[str, int, int]] = {}
        self.writes = 0
        seeded = support.Site(self.table).seed()
        self.record_contents()
        assert seeded.revision == 1
        self.instances = [Instance(self, number) for number in range(COUNT)]

    def record_contents(self) -> None:
        """Records the table's contents at its current revision."""
        tree = store.read_tree(self.table, state.EMPTY).unwrap()
        self.contents[tree.revision] = read_contents(tree)

    def send(
        self, number: int, path: str, value: int, expected: int, write_id: str
    ) -> None:
        instance = self.instances[number]
        before = self.read_head()
        accepted_before = len(self.accepted)
        instance.site.in_force = instance.core.in_force
        outcome = instance.site.write(path, value, expected, write_id=write_id)
        self.record_contents()
        after = self.read_head()
        if isinstance(outcome, result.Ok):
            accepted = outcome.ok_value
            owner = self.accepted.setdefault(
                accepted.revision, (path, write_id)
            )
            assert owner == (path, write_id)
            self.unknown.pop(write_id, None)
            instance.executor.handle(messages.TreeWritten(accepted.tree))
        elif isinstance(outcome.err_value, errors.WriteUnknown):
            self.unknown[write_id] = (path, value, expected)
        else:
            self.unknown.pop(write_id, None)
            # Only concurrent accepted writes may have changed the table.
            others = len(self.accepted) - accepted_before
            assert after - before == others

    def read_head(self) -> int:
        return store.read_head(self.table).unwrap().row.revision

    def find_revision(self, path: str) -> int:
        head = store.read_head(self.table).unwrap().row
        return head.subtrees[find_subtree(path)]

    @stateful.rule(
        number=INSTANCES, path=PATHS, value=VALUES, lag=st.integers(0, 1),
        faults=FAULTS,
    )  # fmt: skip
    def write(
        self, number: int, path: str, value: int, lag: int, faults: list
    ) -> None:
        self.writes += 1
        expected = self.find_revision(path) - lag
        self.instances[number].table.faults = list(faults)
        self.send(number, path, value, expected, f"w-{self.writes}")
        self.instances[number].table.faults = []

    @stateful.rule(number=INSTANCES, path=PATHS, value=VALUES,
                   effect=st.booleans())  # fmt: skip
    def write_without_an_answer(
        self, number: int, path: str, value: int, effect: bool
    ) -> None:
        self.writes += 1
        lost = ["lost_after" if effect else "lost_before"]
        self.instances[number].table.faults = lost + ["down"] * 1000
        expected = self.find_revision(path)
        self.send(number, path, value, expected, f"w-{self.writes}")
        self.instances[number].table.faults = []

    @stateful.precondition(lambda self: self.unknown)
    @stateful.rule(number=INSTANCES, ids_expired=st.booleans())
    def retry_an_unknown_write(self, number: int, ids_expired: bool) -> None:
        if ids_expired:
            self.instances[number].table.expire_write_ids()
        write_id, (path, value, expected) = next(iter(self.unknown.items()))
        self.send(number, path, value, expected, write_id)

    @stateful.rule(
        first=INSTANCES, second=INSTANCES, one=PATHS, other=PATHS,
        value=VALUES,
    )  # fmt: skip
    def race(
        self, first: int, second: int, one: str, other: str, value: int
    ) -> None:
        self.writes += 2
        losing, winning = f"w-{self.writes}", f"w-{self.writes}-won"
        expected = self.find_revision(other)
        # The second operator's write commits before the first one's.
        if first != second:
            self.instances[first].table.before_commit = lambda: self.send(
                second, other, value, expected, winning
            )
        held = self.find_revision(one)
        self.send(first, one, value, held, losing)
        self.instances[first].table.before_commit = lambda: None

    @stateful.rule(number=INSTANCES, seconds=st.floats(0.1, 7.0))
    def wait(self, number: int, seconds: float) -> None:
        self.instances[number].pass_time(seconds)

    @stateful.rule(sender=INSTANCES, receiver=INSTANCES)
    def heartbeat(self, sender: int, receiver: int) -> None:
        if sender != receiver and self.instances[sender].reachable:
            self.instances[receiver].receive_heartbeat(self.instances[sender])

    @stateful.rule(number=INSTANCES)
    def start_a_slow_poll(self, number: int) -> None:
        instance = self.instances[number]
        read = store.read_tree(
            instance.table, instance.core.in_force or state.EMPTY
        )
        instance.late_read = read.ok()

    @stateful.rule(number=INSTANCES)
    def finish_a_slow_poll(self, number: int) -> None:
        instance = self.instances[number]
        late, instance.late_read = instance.late_read, None
        if late is not None:
            now = instance.site.clock.monotonic()
            instance.executor._run_actions(instance.core.handle_read(late, now))

    @stateful.rule(number=INSTANCES, peer=INSTANCES)
    def start_a_slow_copy(self, number: int, peer: int) -> None:
        held = self.instances[peer].core.in_force
        if held is not None:
            name = self.instances[peer].name
            self.instances[number].late_copy = (name, copies.encode(held))

    @stateful.rule(number=INSTANCES)
    def finish_a_slow_copy(self, number: int) -> None:
        instance = self.instances[number]
        late, instance.late_copy = instance.late_copy, None
        if late is not None:
            previous = instance.core.in_force or state.EMPTY
            found = copies.decode(late[1], previous).unwrap()
            now = instance.site.clock.monotonic()
            actions = instance.core.handle_copy(late[0], found, now)
            instance.executor._run_actions(actions)

    @stateful.rule(number=INSTANCES)
    def restart(self, number: int) -> None:
        self.instances[number].start()

    @stateful.rule(number=INSTANCES)
    def restart_without_the_platform(self, number: int) -> None:
        instance = self.instances[number]
        instance.table.cut()
        instance.start()
        instance.pass_time(0.1)
        assert instance.core.in_force is None
        peers = [peer for peer in self.instances if peer is not instance]
        for peer in peers:
            if peer.reachable:
                instance.receive_heartbeat(peer)
        instance.pass_time(core.DISCOVERY_S + 0.1)
        held = [peer.core.revision for peer in peers if peer.reachable]
        assert instance.core.revision == max(held, default=0)

    @stateful.rule(number=INSTANCES, down=st.booleans())
    def cut_from_the_platform(self, number: int, down: bool) -> None:
        self.instances[number].table.cut(down)

    @stateful.rule(number=INSTANCES, reachable=st.booleans())
    def cut_from_peers(self, number: int, reachable: bool) -> None:
        self.instances[number].reachable = reachable

    @stateful.invariant()
    def revisions_in_force_only_grow(self) -> None:
        for instance in self.instances:
            published = instance.published
            assert published == sorted(set(published))
            assert instance.core.revision == max(published, default=0)

    @stateful.invariant()
    def trees_in_force_match_accepted_contents(self) -> None:
        for instance in self.instances:
            tree = instance.core.in_force
            if tree is not None:
                assert read_contents(tree) == self.contents[tree.revision]

    @stateful.invariant()
    def no_accepted_write_is_lost(self) -> None:
        found = self.table.rows
        for revision, (path, write_id) in self.accepted.items():
            subtree = find_subtree(path)
            row = found[rows.make_history_key(subtree, revision)]
            history = rows.decode(row.value, rows.HistoryRow).unwrap()
            assert history.write_id == write_id

    def teardown(self) -> None:
        for instance in self.instances:
            instance.table.cut(down=False)
            instance.reachable = True
        for _ in range(2):
            for instance in self.instances:
                instance.pass_time(core.POLL_S * (1 + core.POLL_JITTER))
        newest = self.read_head()
        in_force = [instance.core.revision for instance in self.instances]
        assert in_force == [newest] * COUNT


def find_subtree(path: str) -> str:
    return paths.parse_path(path).unwrap().subtree


def read_contents(tree: state.InForce) -> dict[str, bytes]:
    return {
        path: msgspec.json.encode(msgspec.json.decode(subtree.read()))
        for path, subtree in tree.subtrees.items()
    }


TestSettings = SettingsMachine.TestCase
TestSettings.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=30
)
