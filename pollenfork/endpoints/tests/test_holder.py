"""Order senders with pauses at any stage, and faults in any order."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pollenfork import ids
from pollenfork.endpoints import steps
from pollenfork.endpoints.tests import simulation

LEASE = simulation.TIMES.lease_s
ORDER = simulation.TIMES.order_s
STAGES = 32  # More than a run has, from the first read to the release.


def make_pair(checks_fencing):
    sim = simulation.Simulation(checks_fencing)
    first = simulation.Instance(sim, ids.InstanceId("i1"))
    second = simulation.Instance(sim, ids.InstanceId("i2"))
    first.set_models("m@1")
    second.set_models("m@2")
    return sim, first, second


def test_run_has_fewer_stages_than_are_tested():
    sim, first, _ = make_pair(checks_fencing=True)
    stages = 0
    while first.advance():
        stages += 1
    assert first.sender.get_pending() is None
    assert sim.engine.read_models() == ("m@1",)
    assert 15 <= stages < STAGES


@pytest.mark.parametrize("lost", [False, True], ids=["heard", "lost"])
@pytest.mark.parametrize(
    "pause",
    [LEASE - 2, LEASE + 1, LEASE + ORDER + 1, LEASE * 20],
)
@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
@pytest.mark.parametrize("stage", range(STAGES))
def test_holder_paused_at_any_stage_sends_no_stale_order(
    stage, checks, pause, lost
):
    sim, first, second = make_pair(checks)
    for _ in range(stage):
        first.advance()
    if lost and first.step and first.stage in ("decided", "sent"):
        if isinstance(first.step, steps.Write):
            first.advance()  # The write takes effect, its answer is lost.
        first.lose_answer()
    passed = 0.0
    while passed < pause:  # The second continues while the first is paused.
        while second.advance():
            pass
        step = min(1.0, pause - passed)
        sim.advance(step)
        passed += step
    first.set_models("m@2")  # After the pause, it gets the new settings.
    simulation.run_without_faults(sim, [first, second], 200.0, 2.0)
    assert sim.engine.read_models() == ("m@2",)


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
def test_order_sent_at_the_end_of_a_lease_applies_before_the_next_holders(
    checks,
):
    sim, first, second = make_pair(checks)
    while not isinstance(first.step, steps.SendOrder):
        first.advance()
    while second.advance():  # The second counts the lease from now on.
        pass
    sim.advance(LEASE - 1.5)  # Just before the first has to stop.
    first.advance()
    assert first.stage == "sent"
    second.set_models("m@2")
    # The first is still paused.
    simulation.run_without_faults(sim, [second], 200.0)
    # Only for an engine that checks fencing numbers, the order is in flight.
    for flight in list(sim.in_flight):
        assert isinstance(
            sim.deliver(flight).err_value, simulation.edges.Fenced
        )
    assert sim.engine.read_models() == ("m@2",)


@pytest.mark.parametrize(
    ("checks", "wait"), [(True, LEASE), (False, LEASE + ORDER)]
)
def test_next_holder_waits_for_the_lease_to_end(checks, wait):
    sim, first, second = make_pair(checks)
    while first.sender.get_fencing() == 0:
        first.advance()
    sim.advance(5.0)
    simulation.run_without_faults(sim, [second], wait - 1.0)
    assert second.sender.get_fencing() == 1
    simulation.run_without_faults(sim, [second], 3.0)
    assert second.sender.get_fencing() == 2


def test_unanswered_order_delays_the_next_one():
    sim, first, _ = make_pair(checks_fencing=False)
    while first.stage != "sent":
        first.advance()
    first.lose_answer()  # The order itself may still take effect.
    first.set_models("m@2")
    simulation.run_without_faults(sim, [first], 60.0)
    applied = [entry[1:4:2] for entry in sim.engine.applied]
    assert applied == [(1, "m@1"), (1, "m@1"), (2, "m@2")]


def test_fenced_order_makes_the_holder_claim_again():
    sim, first, _ = make_pair(checks_fencing=True)
    sim.engine.highest = 3  # As if the store was restored from a backup.
    simulation.run_without_faults(sim, [first], 60.0)
    assert sim.engine.read_models() == ("m@1",)
    assert sim.engine.applied[-1][0] == 3


def test_model_lost_in_a_crash_is_ordered_again_after_a_delay():
    sim, first, _ = make_pair(checks_fencing=True)
    simulation.run_without_faults(sim, [first], 10.0)
    first.sender.record_models((), first.now())
    simulation.run_without_faults(sim, [first], 40.0)
    assert len(sim.engine.applied) == 1  # The report may be outdated.
    simulation.run_without_faults(sim, [first], 30.0)
    assert len(sim.engine.applied) == 2


def test_rejected_order_does_not_block_the_next_ones():
    sim, first, _ = make_pair(checks_fencing=True)
    first.set_models("bad@1", "m@1")
    apply = sim.engine.apply

    def reject_bad(order):
        if order.argument == "bad@1":
            return simulation.result.Err(simulation.edges.Rejected())
        return apply(order)

    sim.engine.apply = reject_bad
    simulation.run_without_faults(sim, [first], 10.0)
    assert sim.engine.read_models() == ("m@1",)


def test_released_lease_is_available_at_once():
    sim, first, second = make_pair(checks_fencing=False)
    simulation.run_without_faults(sim, [first], 5.0)
    simulation.run_without_faults(sim, [second], 1.0)
    assert sim.engine.applied[-1][:2] == (2, 2)
    row = sim.find_row("endpoints/dc1/leases/e1")
    assert b'"holder":""' in row.value


def test_idle_holder_reads_and_writes_nothing():
    sim, first, _ = make_pair(checks_fencing=False)
    simulation.run_without_faults(sim, [first], 5.0)
    before = sim.platform.state.get_counts()
    simulation.run_without_faults(sim, [first], 600.0)
    assert sim.platform.state.get_counts() == before


def test_lower_ranked_candidate_waits():
    sim = simulation.Simulation(checks_fencing=True)
    later = simulation.Instance(sim, ids.InstanceId("i2"), rank=1)
    later.set_models("m@1")
    simulation.run_without_faults(sim, [later], 29.0)
    assert sim.engine.applied == []
    simulation.run_without_faults(sim, [later], 5.0)
    assert len(sim.engine.applied) == 1


def test_endpoint_waits_for_a_loading_slot():
    names = frozenset(ids.EndpointId(f"e{n}") for n in range(1, 9))
    sim = simulation.Simulation(checks_fencing=True, model_endpoints=names)
    key = "endpoints/dc1/loading/m"
    full = b'{"endpoints":["e2","e3"],"format":1}'
    sim.put(key, full)
    first = simulation.Instance(sim, ids.InstanceId("i1"))
    first.set_models("m@1")
    simulation.run_without_faults(sim, [first], 60.0)
    assert sim.engine.applied == []
    # It doesn't hold the lease while it waits.
    assert sim.find_row("endpoints/dc1/leases/e1") is None
    gone = b'{"endpoints":["e2","e99"],"format":1}'
    sim.put(key, gone)
    simulation.run_without_faults(sim, [first], 10.0)
    assert sim.engine.read_models() == ("m@1",)
    assert sim.find_row(key).value.startswith(b'{"endpoints":["e2"]')


class HolderMachine(stateful.RuleBasedStateMachine):
    """Runs instances with faults of the store and pauses in any order."""

    @stateful.initialize(
        checks=strategies.booleans(), count=strategies.integers(2, 3)
    )
    def begin(self, checks, count):
        self.sim = simulation.Simulation(checks)
        self.instances = [
            simulation.Instance(self.sim, ids.InstanceId(f"i{n}"))
            for n in range(count)
        ]
        self.models = ("m@1",)
        for instance in self.instances:
            instance.set_models(*self.models)

    def pick(self, index):
        return self.instances[index % len(self.instances)]

    @stateful.rule(
        index=strategies.integers(0, 2), times=strategies.integers(1, 12)
    )
    def run_stages(self, index, times):
        for _ in range(times):
            self.pick(index).advance()

    @stateful.rule(seconds=strategies.sampled_from([0.5, 5, 11, 29, 31, 45]))
    def advance(self, seconds):
        self.sim.advance(float(seconds))

    @stateful.rule(
        index=strategies.integers(0, 2),
        fault=strategies.sampled_from(
            ["lose", "lose after", "delay", "refuse", "crash"]
        ),
    )
    def inject_fault(self, index, fault):
        instance = self.pick(index)
        if fault == "crash":
            instance.start()
        elif not instance.step or instance.stage == "answered":
            return
        elif fault == "delay" and isinstance(instance.step, steps.Write):
            instance.delay_write()
        elif fault == "refuse" and instance.stage == "decided":
            instance.refuse()
        elif fault == "lose after":
            instance.advance()
            if instance.stage == "sent":
                instance.lose_answer()
            elif not isinstance(instance.step, steps.SendOrder):
                instance.answer = simulation.LOST
        elif not isinstance(instance.step, steps.SendOrder):
            instance.lose_answer()

    @stateful.rule(version=strategies.integers(1, 4))
    def change_settings(self, version):
        self.models = (f"m@{version}",)

    @stateful.rule(index=strategies.integers(0, 2))
    def apply_settings(self, index):
        self.pick(index).set_models(*self.models)

    @stateful.rule()
    def apply_late_write(self):
        if self.sim.late_writes:
            self.sim.table.commit(self.sim.late_writes.pop(0))

    @stateful.rule()
    def deliver_order(self):
        if self.sim.in_flight:
            self.sim.deliver(self.sim.in_flight[0])

    def teardown(self):
        if not hasattr(self, "sim"):
            return
        for instance in self.instances:
            instance.set_models(*self.models)
        simulation.run_without_faults(self.sim, self.instances, 300.0, 5.0)
        assert self.sim.engine.read_models() == self.models


TestHolderMachine = HolderMachine.TestCase
TestHolderMachine.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
