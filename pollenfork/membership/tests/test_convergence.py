"""Cores converge after faults of the network (stateful test)."""

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from pollenfork.membership import messages
from pollenfork.membership.tests import network

# Covers probes every 2 s after the last fault, then summaries and their
# silence timeouts.
_CONVERGENCE_S = 20.0
_CENTRES = ("amman-1", "amman-1", "amman-1", "amman-1", "amman-2", "amman-2")
_NAMES = strategies.sampled_from([f"entry-{n}" for n in range(len(_CENTRES))])


class Membership(stateful.RuleBasedStateMachine):
    @stateful.initialize(
        seed=strategies.integers(0, 2**16),
        count=strategies.integers(3, len(_CENTRES)),
    )
    def start(self, seed, count):
        self.network = network.Network(seed, *_CENTRES[-count:])
        for name in self.network.nodes:
            self.network.start(name)

    def _node(self, name):
        return self.network.nodes.get(name)

    @stateful.rule(seconds=strategies.sampled_from([0.3, 1.0, 3.0]))
    def run(self, seconds):
        self.network.run(seconds)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.4]),
        delay_s=strategies.sampled_from([0.0, 0.3, 1.0]),
    )
    def degrade(self, loss, delay_s):
        self.network.loss = loss
        self.network.delay_s = delay_s

    @stateful.rule(one=_NAMES, other=_NAMES)
    def partition(self, one, other):
        self.network.cuts.add(frozenset((f"{one}:1", f"{other}:1")))

    @stateful.rule()
    def heal(self):
        self.network.cuts.clear()

    @stateful.rule(name=_NAMES)
    def kill(self, name):
        if self._node(name) and self._node(name).core:
            self.network.kill(name)

    @stateful.rule(name=_NAMES)
    def leave(self, name):
        if self._node(name) and self._node(name).core:
            self.network.leave(name)

    @stateful.rule(name=_NAMES, skew_s=strategies.integers(-100, 100))
    def restart(self, name, skew_s):
        if self._node(name):
            self.network.start(name, skew_s)

    @stateful.rule(which=strategies.integers(0, 199))
    def replay(self, which):
        history = self.network.history
        if history:
            self.network.deliver(history[which % len(history)])

    @stateful.rule()
    def truncate_list(self):
        self.network.listed = self.network.listed[:1]

    @stateful.rule()
    def converge(self):
        self.network.publish_list()
        self.network.cuts.clear()
        self.network.loss = 0.0
        self.network.delay_s = 0.0
        self.network.run(_CONVERGENCE_S)
        running = {
            node.name: node.core.incarnation for node in self.network.running()
        }
        for node in self.network.running():
            assert node.present(self.network.now) == running, node.name

    @stateful.invariant()
    def no_member_removes_itself(self):
        for node in self.network.running():
            assert node.name in node.present(self.network.now)
            for event in node.events:
                if isinstance(event, messages.MemberLost | messages.MemberLeft):
                    assert event.instance != node.name

    @stateful.invariant()
    def incarnations_increase_and_leaving_is_final(self):
        for node in self.network.running():
            highest: dict = {}
            left = set()
            for event in node.events:
                if isinstance(event, messages.MemberJoined):
                    key = (event.instance, event.incarnation)
                    assert key not in left
                    assert event.incarnation >= highest.get(event.instance, 0)
                    highest[event.instance] = event.incarnation
                if isinstance(event, messages.MemberLeft):
                    left.add((event.instance, event.incarnation))

    def teardown(self):
        if hasattr(self, "network"):
            self.converge()


TestMembership = Membership.TestCase
TestMembership.settings = settings(
    max_examples=30,
    stateful_step_count=25,
    # Shrinking such runs takes minutes and rarely shortens them.
    phases=(Phase.explicit, Phase.generate),
    report_multiple_bugs=False,
)
